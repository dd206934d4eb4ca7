#!/bin/sh
# Builds the stand-ins of the cases 6 to 9: one program a case, from its case.cpp and standins-2/kit.h.
set -eu
cd "$(dirname "$0")"
mkdir -p build-2
for source in [0-9]*/case.cpp; do
    [ -e "$source" ] || continue
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build-2/case-$(dirname "$source")" "$source"
done
