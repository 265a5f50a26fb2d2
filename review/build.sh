#!/bin/sh
# Builds the stand-ins of the scripts. They need Python's standard library
# only, so this compiles them and checks the version of Python.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q common [1-5]/*.py
