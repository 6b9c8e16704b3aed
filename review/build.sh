#!/usr/bin/env bash
# Check the stand-ins and the cases; Python needs no other build.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib/*.py [1-5]/case.py
