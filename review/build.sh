#!/bin/sh
# The stand-ins are Python scripts (standard library only, Python 3.11 or later): nothing is built.
# Checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib, sys, tomllib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print("stand-ins:", sys.version.split()[0])'
