#!/usr/bin/env bash
# Formats every C++ source file; with --check only reports what would change.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '/generated/' | xargs clang-format "${mode[@]}"
