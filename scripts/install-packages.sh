#!/usr/bin/env bash
# Installs the build and test dependencies on Debian 12. Does nothing if all are installed.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy dpkg-dev python3
  libabsl-dev libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
  prometheus-cpp-dev libmicrohttpd-dev libcurl4-openssl-dev libcli11-dev
  libboost1.81-dev libboost-log1.81-dev catch2 nlohmann-json3-dev libxxhash-dev librapidcheck-dev libsodium-dev
)
if dpkg -s "${packages[@]}" > /dev/null 2>&1; then
  exit 0
fi
sudo=()
[ "$(id -u)" = 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update
"${sudo[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${packages[@]}"
