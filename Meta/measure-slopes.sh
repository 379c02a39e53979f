#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md: the core by tasks, workers and teams, real processes by
# starts a second, workers for each entry instance, and entry instances.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target bench-core bench-cell >/dev/null
build/bin/bench-core --slopes
build/bin/bench-cell --rates 600,1800,3600,5400 --seconds 5
for workers in 6 17 51; do
  build/bin/bench-cell --workers-per-zone "$workers" --rates 300 --seconds 3
done
for entries in 2 3 5; do
  build/bin/bench-cell --entries-per-zone "$entries" --rates 300 --seconds 3
done
