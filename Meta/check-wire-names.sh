#!/usr/bin/env bash
# Fails if a name of the platform's wire stands outside platform/, its tests and the soak's stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
names='ExpectedRev|rows-tx|rows-get|rows-feed|rows-parts|run-start|run-stop|machine-move|machine-upkeep|/v1/hold|/v1/pace|/v1/advise|/v1/readiness|FencingToken|LastSeen|DeadlineMs'
names+='|ClockMs|WaitMs|PathPrefix|EstimateMs|MemMb|ApiKeys|AntiAffinity|InitialDelayMs|IntervalMs|EnforcesCapacity'
names+='|X-Expect-Instance|HoldMaxMs|GraceS|PortRange|RemainingMs|ColdLeftMs|DecideMs|EachMs|ValidMs|status_s|KillGraceMs'
if git grep --untracked -nwE "$names" -- Libraries Services Utilities Tests ':!Tests/Platform' ':!Tests/Soak'; then
  echo "names of the platform's wire outside platform/" >&2
  exit 1
fi
