#!/bin/sh
# The stand-ins need only Python's standard library; this checks that they compile.
set -e
cd "$(dirname "$0")"
for file in standins.py */scenario.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
