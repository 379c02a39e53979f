#!/usr/bin/env bash
# Fails if a source file differs from what the formatter would write; --fix rewrites instead.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files --cached --others --exclude-standard -z -- '*.h' '*.cpp' |
  xargs -0 --no-run-if-empty clang-format "${mode[@]}"
