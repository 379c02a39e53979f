#!/usr/bin/env python3
"""Finds failed runs that a leader did not count when it started their task again.

Reads log lines of all instances on standard input. Each may have a prefix before "time=": the first
word is the time in seconds if it is a number, the last one the instance. A failed run is known from
its first "run_ended" line; "run_started" says how many failed runs of the task its leader has
counted.

Prints a line for each miss and a summary. Early starts are those of jobs that an earlier leader
knew, before their leader had read the workers of its predecessor. Kinds of misses:
  acknowledged  a leader told the worker to forget the end, and a later start does not count it
  listed        a leader had read the end, and a later start does not count it
  read late     the end was read after a start that came after it
A miss is "excused" if a leader found the lease of the run's worker expired before the start, since
the worker then drops what it has not been asked for. Successes are not logged, so not checked.
"""

import argparse
import collections
import dataclasses
import re
import sys
from collections.abc import Iterable

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
FAILED = "1"

StepName = tuple[str, str, str]
TaskName = tuple[str, str, str, str]


@dataclasses.dataclass(frozen=True)
class Event:
    time: float
    instance: str
    name: str
    fields: dict[str, str]


@dataclasses.dataclass
class FailedRun:
    run: int
    worker: str
    sequence: int
    listed: float
    acknowledged: float | None = None
    readers: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class Miss:
    kind: str
    is_excused: bool
    time: float
    task: TaskName
    failure: FailedRun


def read_events(lines: Iterable[str]) -> list[Event]:
    names = {"run_started", "run_ended", "ends_acknowledged", "runs_lost", "job_adopted",
             "term_begun", "workers_read", "predecessor_waited_out"}
    events = []
    for line in lines:
        prefix, found, text = line.partition("time=")
        if not found:
            continue
        fields = {name: value.strip('"') for name, value in FIELD.findall("time=" + text)}
        if fields.get("event") not in names:
            continue
        words = prefix.split()
        try:
            time = float(words[0])
        except (IndexError, ValueError):
            hours, minutes, seconds = fields["time"].rstrip("Z").split("T")[1].split(":")
            time = int(hours) * 3600 + int(minutes) * 60 + float(seconds)
        events.append(Event(time, words[-1] if words else "", fields["event"], fields))
    return sorted(events, key=lambda event: event.time)


def step_of(event: Event) -> StepName:
    return (event.fields["job"], event.fields["occurrence"], event.fields["step"])


def find_gangs(events: list[Event]) -> set[StepName]:
    """The members of a gang share the number of their run; other tasks do not."""
    members = collections.defaultdict(set)
    for event in events:
        if event.name == "run_started":
            members[step_of(event), event.fields["run"]].add(event.fields["index"])
    return {step for (step, _), indices in members.items() if len(indices) > 1}


class Checker:
    def __init__(self, gangs: set[StepName]) -> None:
        self.gangs = gangs
        self.failures: dict[TaskName, list[FailedRun]] = collections.defaultdict(list)
        self.latest_start: dict[TaskName, tuple[int, float]] = {}
        self.expired_leases: dict[str, list[float]] = collections.defaultdict(list)
        self.known_jobs: set[str] = set()
        # For each leader that has not read all workers, the jobs that earlier leaders knew.
        self.inherited_jobs: dict[str, set[str]] = {}
        self.early_starts: collections.Counter[TaskName] = collections.Counter()
        self.misses: list[Miss] = []

    def task_of(self, event: Event) -> TaskName:
        step = step_of(event)
        return (*step, "0" if step in self.gangs else event.fields["index"])

    def add(self, kind: str, time: float, task: TaskName, failure: FailedRun) -> None:
        is_excused = any(expired <= time for expired in self.expired_leases[failure.worker])
        self.misses.append(Miss(kind, is_excused, time, task, failure))

    def on_adoption(self, event: Event) -> None:
        self.known_jobs.add(event.fields["job"])

    def on_term(self, event: Event) -> None:
        self.inherited_jobs.pop(event.instance, None)
        if event.fields["to_read"] != "0":
            self.inherited_jobs[event.instance] = set(self.known_jobs)

    def on_workers_read(self, event: Event) -> None:
        self.inherited_jobs.pop(event.instance, None)

    def on_start(self, event: Event) -> None:
        task = self.task_of(event)
        if event.fields["job"] in self.inherited_jobs.get(event.instance, set()):
            self.early_starts[task] += 1
        run = int(event.fields["run"])
        earlier = [failure for failure in self.failures[task] if failure.run < run]
        missing = len(earlier) - int(event.fields["failures"])
        # The counted runs are not named. Those that get lost are what other leaders read last.
        unread = sorted(
            earlier, key=lambda failure: (event.instance in failure.readers, -failure.listed))
        for failure in unread[:max(missing, 0)]:
            kind = "listed" if failure.acknowledged is None else "acknowledged"
            self.add(kind, event.time, task, failure)
        latest = self.latest_start.get(task, (0, 0.0))
        self.latest_start[task] = max(latest, (run, event.time))

    def on_end(self, event: Event) -> None:
        task = self.task_of(event)
        run = int(event.fields["run"])
        if event.fields["end"] != FAILED:
            return
        for known in self.failures[task]:
            if known.run == run:
                known.readers.add(event.instance)
                return
        failure = FailedRun(
            run, event.fields["worker"], int(event.fields["sequence"]), event.time,
            readers={event.instance})
        self.failures[task].append(failure)
        latest, started = self.latest_start.get(task, (0, 0.0))
        if latest > run:
            self.add("read late", started, task, failure)

    def on_acknowledgement(self, event: Event) -> None:
        for failures in self.failures.values():
            for failure in failures:
                if (failure.worker == event.fields["worker"] and failure.acknowledged is None
                        and failure.sequence <= int(event.fields["through"])):
                    failure.acknowledged = event.time

    def on_lost_runs(self, event: Event) -> None:
        if event.fields["reason"] == "lease_ended":
            self.expired_leases[event.fields["worker"]].append(event.time)

    def check(self, events: list[Event]) -> None:
        handlers = {
            "run_started": self.on_start,
            "run_ended": self.on_end,
            "ends_acknowledged": self.on_acknowledgement,
            "runs_lost": self.on_lost_runs,
            "job_adopted": self.on_adoption,
            "term_begun": self.on_term,
            "workers_read": self.on_workers_read,
            "predecessor_waited_out": self.on_workers_read,
        }
        for event in events:
            handlers[event.name](event)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.parse_args()
    events = read_events(sys.stdin)
    checker = Checker(find_gangs(events))
    checker.check(events)
    for miss in checker.misses:
        print(f"{miss.time:9.3f} {miss.kind}{' (excused)' if miss.is_excused else ''}:"
              f" task {'.'.join(miss.task)} run {miss.failure.run}"
              f" at {miss.failure.worker}, read at {miss.failure.listed:.3f}")
    failed = sum(len(failures) for failures in checker.failures.values())
    counts = collections.Counter(
        miss.kind + (" (excused)" if miss.is_excused else "") for miss in checker.misses)
    print(f"{failed} failed runs; early starts: {checker.early_starts.total()}; misses:",
          ", ".join(f"{count} {kind}" for kind, count in sorted(counts.items())) or "none")
    is_broken = any(not miss.is_excused for miss in checker.misses)
    return 1 if is_broken or checker.early_starts else 0


if __name__ == "__main__":
    sys.exit(main())
