#!/bin/sh
# Builds the stand-ins of the scripts: Python programs without dependencies, compiled to find errors.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)' standin/standin.py */case.py
