#!/usr/bin/env python3
"""Prints the longest stretches in which an accepted step could run and did not.

Reads log lines of all instances on standard input (a prefix before "time=" is ignored). A stretch
is told by the lines "step_stands_still" of the leader: none of the step's tasks runs, it fits into
its workspace's limit of which less than half is in use, and it does not lack room. Stretches of
less than 500 ms are not logged. Prints the longest ones, then the longest and the total time of
each reason, among them the reports of workers that a new leader awaits ("reports"). Then prints
what held back all jobs of a predecessor, and the longest time for which a task counted as running
at a silent worker after its lease had ended. Exits with 1 if a stretch is as long as --bound.
"""

import argparse
import collections
import dataclasses
import re
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
REASONS = ("reports", "advice", "limit", "headroom", "earmark", "ticket", "record")
# Lines about the jobs of a predecessor, printed as they are.
TAKEOVER_EVENTS = ("term_begun", "workers_read", "predecessor_waited_out", "jobs_released")


@dataclasses.dataclass
class Stretch:
    """The latest line of a stretch. Times are milliseconds."""

    begin: float
    fields: dict

    @property
    def still(self) -> int:
        return int(self.fields["still_ms"])

    def time_of(self, reason: str) -> int:
        return int(self.fields.get(f"{reason}_ms", 0))

    def describe(self) -> str:
        times = " ".join(f"{r} {self.time_of(r)}" for r in REASONS if self.time_of(r) > 0)
        tasks = int(self.fields["tasks"]) if self.fields["gang"] == "true" else 1
        shares = []
        for unit in ("millicores", "mib"):
            limit = int(self.fields[f"limit_{unit}"])
            if limit > 0:
                need = int(self.fields[unit]) * tasks / limit
                used = int(self.fields[f"workspace_{unit}"]) / limit
                shares.append(f"{need:.2f} of the limit ({used:.2f} in use) of {unit}")
        kind = "gang" if self.fields["gang"] == "true" else "tasks"
        return (f"{self.still:6d} ms from {self.begin / 1000:7.2f} s  job {self.fields['job']}"
                f" step {self.fields['step']} ({kind}, rank {self.fields['rank']}): {times};"
                f" needs {', '.join(shares) or 'no limit'}; reservations failed {self.fields['reservations_failed']}")


def parse_time(text: str) -> float:
    hours, minutes, seconds = text.rstrip("Z").split("T")[1].split(":")
    return (int(hours) * 3600 + int(minutes) * 60 + float(seconds)) * 1000


@dataclasses.dataclass
class Log:
    """What the lines tell."""

    stretches: list[Stretch]
    takeovers: list[str]
    # Milliseconds for which runs were awaited at silent workers after their leases.
    awaited_runs: list[int]


def read_log(lines) -> Log:
    ended = []
    takeovers = []
    awaited_runs = []
    open_stretches: dict[tuple, Stretch] = {}
    first = None
    for line in lines:
        position = line.find("time=")
        if position < 0 or "event=" not in line:
            continue
        fields = {key: value.strip('"') for key, value in FIELD.findall(line[position:])}
        now = parse_time(fields["time"])
        first = now if first is None else first
        if fields["event"] in TAKEOVER_EVENTS:
            told = " ".join(f"{k}={v}" for k, v in fields.items() if k not in ("time", "level"))
            takeovers.append(f"{(now - first) / 1000:7.2f} s  {told}")
        if fields["event"] == "run_lost" and fields["reason"] == "lease_ended":
            awaited_runs.append(int(fields.get("beyond_lease_ms", 0)))
        if fields["event"] != "step_stands_still":
            continue
        key = (fields["job"], fields["occurrence"], fields["step"])
        previous = open_stretches.pop(key, None)
        # Another leader has begun to count anew if the length has shrunk.
        if previous is not None and previous.still > int(fields["still_ms"]):
            ended.append(previous)
        stretch = Stretch(now - first - int(fields["still_ms"]), fields)
        if fields["ended"] == "true":
            ended.append(stretch)
        else:
            open_stretches[key] = stretch
    return Log(ended + list(open_stretches.values()), takeovers, awaited_runs)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=10, help="stretches to print")
    parser.add_argument("--bound", type=int, help="length in ms that no stretch may reach")
    options = parser.parse_args()
    log = read_log(sys.stdin)
    stretches = sorted(log.stretches, key=lambda s: s.still, reverse=True)
    print(f"{len(stretches)} stretches of 500 ms or more")
    for stretch in stretches[: options.most]:
        print(stretch.describe())
    totals: collections.Counter = collections.Counter()
    for reason in REASONS:
        totals[reason] = sum(s.time_of(reason) for s in stretches)
        longest = max((s.time_of(reason) for s in stretches), default=0)
        print(f"{reason}: longest {longest} ms, in all {totals[reason]} ms")
    for line in log.takeovers:
        print(line)
    print(f"runs awaited after their lease: longest {max(log.awaited_runs, default=0)} ms")
    if options.bound is not None and stretches and stretches[0].still >= options.bound:
        sys.exit(1)


if __name__ == "__main__":
    main()
