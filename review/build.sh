#!/bin/bash
# Builds what the cases start beside the project's own programs: one program a case, with its clients, servers and
# discovery, into build/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[123]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "build/review/case-$number" "$source"
done
