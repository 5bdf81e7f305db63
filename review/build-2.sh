#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the controller: the stand-ins, which are Python's standard
# library alone. To be run after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m py_compile platform2.py [0-9]*/case.py
