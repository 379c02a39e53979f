#!/usr/bin/env bash
# Prepares the stand-ins of review/6 to review/10. They are Python and need no build: this checks that python3, which
# Meta/install-dependencies.sh installs, reads them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.py {6,7,8,9,10}/case.py; do
  if [ -e "$file" ]; then
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
  fi
done
