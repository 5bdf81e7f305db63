#!/bin/sh
# Runs the case and writes record.txt beside this file: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
PYTHONPATH="$here/.." exec .venv/bin/python "$here/case.py"
