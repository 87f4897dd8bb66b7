#!/bin/sh
# Prepares the stand-ins of the scripts: they are Python and need only a syntax check.
set -e
cd "$(dirname "$0")"
for file in lib/*.py [1-5]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
