#!/usr/bin/env bash
# Installs the dependencies, builds, and runs the demonstration with real processes on loopback addresses.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake -S . -B build -G Ninja > /dev/null
cmake --build build
exec python3 scripts/demo.py
