#!/usr/bin/env python3
"""Explains from an instance log which accepted jobs ended late, and what they waited for.

Reads log lines of all instances on standard input (a prefix before "time=" is ignored). Prints for
each queue how many jobs ended on time, late or too late to be useful ("never"), and the mean time
that each group spent until the leader knew them, until the first advice, until the first and the
last start, and until the end. "refused" counts answers, not jobs. Logs of builds whose
"job_adopted" lacks the objective are not supported.
"""

import argparse
import collections
import dataclasses
import re
import statistics
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
# A job that takes this many times its objective has no value any more.
DEADLINE_FACTOR = 3


@dataclasses.dataclass
class Job:
    """What the log says of one accepted job. Times are seconds since the first line."""

    queue: str
    workspace: str
    is_beyond_weight: bool
    arrived: float
    adopted: float
    objective: float
    first_advice: float | None = None
    first_start: float | None = None
    last_start: float | None = None
    ended: float | None = None
    outcome: str = "active"
    runs: int = 0
    waits: dict = dataclasses.field(default_factory=collections.Counter)

    @property
    def latency(self) -> float | None:
        return None if self.ended is None else self.ended - self.arrived

    @property
    def result(self) -> str:
        if self.outcome == "cancelled":
            return "cancelled"
        if self.latency is None or self.latency > DEADLINE_FACTOR * self.objective:
            return "never"
        return "late" if self.latency > self.objective else "on time"

    def phases(self) -> dict[str, float]:
        """Durations of the phases that have ended, in seconds."""
        marks = {
            "adoption": self.adopted,
            "advice": self.first_advice,
            "start": self.first_start,
            "further starts": self.last_start,
            "run and end": self.ended,
        }
        durations = {}
        previous = self.arrived
        for name, mark in marks.items():
            if mark is not None:
                durations[name] = max(0.0, mark - previous)
                previous = max(previous, mark)
        return durations


def parse_time(text: str) -> float:
    hours, minutes, seconds = text.rstrip("Z").split("T")[1].split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def read_jobs(lines) -> tuple[dict[str, Job], collections.Counter]:
    jobs: dict[str, Job] = {}
    refusals: collections.Counter = collections.Counter()
    begin = None
    for line in lines:
        position = line.find("time=")
        if position < 0 or "event=" not in line:
            continue
        fields = {key: value.strip('"') for key, value in FIELD.findall(line[position:])}
        now = parse_time(fields["time"])
        begin = now if begin is None else begin
        now -= begin
        event = fields["event"]
        job = jobs.get(fields.get("job", ""))
        if event == "job_adopted" and job is None:
            age = int(fields["age_ms"]) / 1000
            jobs[fields["job"]] = Job(
                queue=fields["queue"],
                workspace=fields["workspace"],
                is_beyond_weight=fields["beyond_weight"] == "true",
                arrived=now - age,
                adopted=now,
                objective=int(fields["objective_ms"]) / 1000,
            )
        elif event == "request_refused" and fields.get("call") == "submit":
            refusals[fields.get("reason", "")] += 1
        elif job is None:
            continue
        elif event == "advice_taken" and job.first_advice is None:
            job.first_advice = now
        elif event == "run_started":
            job.first_start = now if job.first_start is None else job.first_start
            job.last_start = now
            job.runs += 1
        elif event == "step_waits":
            job.waits[fields["for"]] += 1
        elif event == "job_ended" and job.ended is None:
            job.ended = now
            job.outcome = fields["outcome"]
    return jobs, refusals


def print_queue(queue: str, jobs: list[Job]) -> None:
    counts = collections.Counter(job.result for job in jobs)
    print(f"\n{queue}: {len(jobs)} jobs;", ", ".join(f"{n} {r}" for r, n in counts.most_common()))
    for result in ("on time", "late", "never"):
        group = [job for job in jobs if job.result == result]
        if not group:
            continue
        durations = collections.defaultdict(list)
        for job in group:
            for phase, duration in job.phases().items():
                durations[phase].append(duration)
        means = ", ".join(f"{p} {statistics.mean(v):.2f} s" for p, v in durations.items())
        waits = sum((job.waits for job in group), collections.Counter())
        beyond = sum(job.is_beyond_weight for job in group)
        print(f"  {result}: {means}; beyond weight {beyond}; waits logged for",
              ", ".join(f"{reason} {count}" for reason, count in waits.most_common(5)) or "nothing")


def print_spans(jobs: list[Job], span: float) -> None:
    table = collections.defaultdict(collections.Counter)
    for job in jobs:
        table[int(job.arrived // span)][job.result] += 1
    for index in sorted(table):
        row = table[index]
        lost = row["late"] + row["never"]
        if lost:
            print(f"  from {index * span:5.0f} s: {sum(row.values()):5} jobs,"
                  f" {row['late']:4} late, {row['never']:4} never")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--span", type=float, default=2.0, help="seconds a row of the table")
    parser.add_argument("--workspaces", action="store_true", help="also print each workspace")
    options = parser.parse_args()
    jobs, refusals = read_jobs(sys.stdin)
    for queue in sorted({job.queue for job in jobs.values()}):
        of_queue = [job for job in jobs.values() if job.queue == queue]
        print_queue(queue, of_queue)
        print_spans(of_queue, options.span)
        if options.workspaces:
            for workspace in sorted({job.workspace for job in of_queue}):
                print_queue(f"{queue} of {workspace}",
                            [job for job in of_queue if job.workspace == workspace])
    for reason, count in refusals.most_common(8):
        print(f"refused {count} times: {reason}")


if __name__ == "__main__":
    main()
