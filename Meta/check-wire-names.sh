#!/usr/bin/env bash
# Fails if a name of the platform's wire stands outside platform/ and its tests.
set -euo pipefail
cd "$(dirname "$0")/.."
names='ExpectedRev|rows-tx|rows-get|rows-feed|rows-parts|run-start|run-stop|/v1/|FencingToken|LastSeen|DeadlineMs'
names+='|ClockMs|WaitMs|PathPrefix|EstimateMs|MemMb|ApiKeys|AntiAffinity|InitialDelayMs|IntervalMs|EnforcesCapacity'
names+='|X-Expect-Instance|HoldMaxMs|GraceS|PortRange|RemainingMs|ColdLeftMs|DecideMs|EachMs|ValidMs|status_s'
if git grep --untracked -nE "$names" -- Libraries Services Utilities Tests ':!Tests/Platform'; then
  echo "names of the platform's wire outside platform/" >&2
  exit 1
fi
