#!/usr/bin/env bash
# Builds the stand-ins of every case into review/build/. Needs what the deploy file's build needs: a C++20
# compiler and nlohmann-json.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/build"
for source in "$here"/[0-9]*/world.cpp; do
    "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -o "$here/build/$(basename "$(dirname "$source")")" "$source"
done
