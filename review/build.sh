#!/bin/sh
# Builds the stand-ins of all cases: they are Python and need only the environment of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
