#!/usr/bin/env bash
# Runs the flood bench for every service side by side; the lines go to the given file, in a fixed order.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:?usage: run_floods.sh FILE [flood-bench options]}
shift
services=(jarvey/booking-desk jarvey/stable-ledger cordao/order-app cordao/artwork)
parts=()
for service in "${services[@]}"; do
  part=$(mktemp)
  parts+=("$part")
  "${GODWITLIFT_BUILD:-build}/bench/flood-bench" --service "$service" "$@" > "$part" &
done
wait
cat "${parts[@]}" > "$out"
rm -f "${parts[@]}"
