#!/usr/bin/env bash
# Builds the Debian package, unpacks it, runs its programs and checks its files and metadata.
#   package.sh BUILD-FOLDER SOURCE-FOLDER
set -euo pipefail
build=$1
source=$2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
(cd "$build" && cpack -G DEB -B "$folder" > "$folder/cpack.log") || { cat "$folder/cpack.log"; exit 1; }
package=$(ls "$folder"/*.deb)
dpkg-deb -x "$package" "$folder/root"
"$folder/root/usr/bin/godwitliftd" --help > /dev/null
"$folder/root/usr/bin/godwitliftctl" explain 67-972 "$source/tests/explain/refused.log" | grep -q "has not run"
test -s "$folder/root/usr/share/bash-completion/completions/godwitliftctl"
test -s "$folder/root/usr/share/doc/godwitlift/OPERATIONS.md"
dpkg-deb -f "$package" Depends | grep -q libprotobuf
version=$(dpkg-deb -f "$package" Version)
grep -q "^## $version" "$source/CHANGELOG.md" || { echo "CHANGELOG.md has no section for $version"; exit 1; }
echo "package $version contains both programs, the completion and the documentation"
