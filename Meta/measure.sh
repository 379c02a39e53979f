#!/usr/bin/env bash
# Prints the figures of the decision core beside their baselines, then those of a cell of real processes.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target bench-core bench-cell >/dev/null
build/bin/bench-core
build/bin/bench-cell
