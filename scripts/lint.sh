#!/usr/bin/env bash
# Runs clang-tidy on the sources of packages/ and platform/, except generated code. The tests are left out because
# of the third-party macros in them.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files -co --exclude-standard 'packages/*.cpp' 'platform/*.cpp' | grep -v '/generated/' |
  xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "$build"
