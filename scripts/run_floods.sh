#!/usr/bin/env bash
# Runs flood-bench for all services in parallel and writes their output to the given file, in a fixed order.
set -euo pipefail
cd "$(dirname "$0")/.."
output_file=${1:?usage: run_floods.sh FILE [flood-bench options]}
shift
services=(jarvey/booking-desk jarvey/stable-ledger cordao/order-app cordao/artwork)
part_files=()
for service in "${services[@]}"; do
  part_file=$(mktemp)
  part_files+=("$part_file")
  "${GODWITLIFT_BUILD:-build}/bench/flood-bench" --service "$service" "$@" > "$part_file" &
done
wait
cat "${part_files[@]}" > "$output_file"
rm -f "${part_files[@]}"
