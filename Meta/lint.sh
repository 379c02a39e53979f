#!/usr/bin/env bash
# Runs clang-tidy over the sources named, or over all of them, in parallel.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then
  printf '%s\0' "$@"
else
  git ls-files -z -- '*.cpp'
fi | xargs -0 --no-run-if-empty -P "${LINT_JOBS:-$(nproc)}" -n 1 clang-tidy -p build --quiet \
  2> >(grep -v 'warnings\? generated' >&2)
