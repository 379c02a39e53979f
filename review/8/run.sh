#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run; writes record.txt.
# TROUBLE=1 (the default): orders are late, leaders are killed and minions crash. TROUBLE=0: no order is late, no process is killed and no minion crashes.
set -euo pipefail
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}"
exec python3 -B case.py
