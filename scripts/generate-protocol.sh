#!/usr/bin/env bash
# Regenerates the committed protocol sources. Needs protobuf-compiler and protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")/.."
out=packages/adapters/generated
protoc -I packages/adapters/proto --cpp_out="$out" --grpc_out="$out" \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
protoc -I packages/node/proto --cpp_out=packages/node/generated mesh.proto
