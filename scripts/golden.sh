#!/usr/bin/env bash
# Compares the golden sessions with the output of the current build; with --accept overwrites them.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${GODWITLIFT_BUILD:-build}
exit_code=0
for deployment in jarvey cordao; do
  golden_file=tests/golden/$deployment.golden
  output=$("$build/tests/golden-session" examples "$deployment") || exit 1
  if [ "${1:-}" = --accept ]; then
    printf '%s\n' "$output" > "$golden_file"
  elif ! diff -u "$golden_file" <(printf '%s\n' "$output"); then
    exit_code=1
  fi
done
exit "$exit_code"
