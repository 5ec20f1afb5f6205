#!/bin/sh
# Builds the stand-ins of the review's scripts: Python of the standard library, so compiled only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
for case in [1-9]*/case.py; do
  python3 -m py_compile "$case"
done
