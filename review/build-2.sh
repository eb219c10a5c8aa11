#!/bin/sh
# Builds the stand-ins of the cases 4 to 6: plain Python modules of the standard library.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins2.py review/4 review/5 review/6
