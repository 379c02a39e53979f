#!/usr/bin/env bash
# Runs instances under faults on the platform's protocol: soak.sh FIRST-SEED SEEDS [PROCESSES].
# Settings, logs and histories are left in build/soak/seed-N.
set -euo pipefail
cd "$(dirname "$0")/.."
first=${1:?first seed} seeds=${2:?number of seeds} processes=${3:-6}
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target zinc-soak zinc-entry >/dev/null
mkdir -p build/soak
seq "$first" "$((first + seeds - 1))" | xargs -P "$processes" -I SEED \
  build/bin/zinc-soak --program build/bin/zinc-entry --directory build/soak --first-seed SEED |
  { grep -v 'seeds failed' || true; }
