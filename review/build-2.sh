#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the node. The stand-ins are Python
# programs, the project's own in tests/soak/standins.py among them: this checks that they compile.
cd "$(dirname "$0")/.." || exit 2
for file in tests/soak/standins.py review/lib-2/harness.py review/[6-9]/case.py review/10/case.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
