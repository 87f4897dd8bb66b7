#!/usr/bin/env bash
# Runs clang-tidy over every source of the product; generated code and tests' third-party macros are left out.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files -co --exclude-standard 'packages/*.cpp' 'platform/*.cpp' | grep -v '/generated/' |
  xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "$build"
