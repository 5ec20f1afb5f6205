#!/bin/sh
# Builds the stand-ins that the scripts start. They are the Python files in parts-2 and need no library;
# the entries come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q parts-2
