#!/usr/bin/env bash
# Compares the golden sessions with what the build plays now; with --accept takes the new text over.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${GODWITLIFT_BUILD:-build}
status=0
for deployment in jarvey cordao; do
  golden=tests/golden/$deployment.golden
  played=$("$build/tests/golden-session" examples "$deployment") || exit 1
  if [ "${1:-}" = --accept ]; then
    printf '%s\n' "$played" > "$golden"
  elif ! diff -u "$golden" <(printf '%s\n' "$played"); then
    status=1
  fi
done
exit "$status"
