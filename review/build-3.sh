#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15. They are Python programs in lib-3 and in the cases'
# folders, which need no build; this checks that they compile.
set -e
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in lib-3/*.py 1[1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
