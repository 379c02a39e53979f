#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of the cases start. They are Python programs that need the standard library
# only, so that there is nothing to build: this checks that the interpreter is there and that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [0-9]*/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
