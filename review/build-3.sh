#!/usr/bin/env bash
# Prepares the stand-ins of review cases 11 to 15. They are plain Python with its standard library;
# compiling them finds a Python that is too old.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - <<'PYTHON'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in glob.glob("review/stand-ins-3/*.py") + glob.glob("review/1[1-5]/*.py"):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
