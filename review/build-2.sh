#!/bin/bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs the compiler alone.
set -euo pipefail
cd "$(dirname "$0")"
out=../build/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Icommon-2)
for source in common-2/*.cpp; do
  "${CXX:-g++}" "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
wait
for folder in 6 7 8 9 10; do
  [ -f "$folder/case.cpp" ] || continue
  "${CXX:-g++}" "${flags[@]}" "$folder/case.cpp" "$out"/*.o -o "$out/case-$folder" &
done
wait
