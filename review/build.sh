#!/bin/sh
# Builds the stand-ins of the cases. They are plain Python without dependencies, so this only
# compiles them, to find a syntax error before a case runs.
set -e
cd "$(dirname "$0")"
for file in *.py */*.py; do
    [ -f "$file" ] || continue
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file"
done
