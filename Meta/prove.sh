#!/usr/bin/env bash
# Runs histories of real processes under faults on ten fresh seeds and prints a row a point.
# Arguments are those of zinc-prove: --seed N replays, --only KIND runs a single fault.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target zinc-prove >/dev/null
exec build/bin/zinc-prove --programs build/bin --directory build/prove "$@"
