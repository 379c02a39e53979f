"""An entry of another writer must not end the runs of a sound minion."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
sys.dont_write_bytecode = True

import platform_standins as platform  # noqa: E402

MINIONS = 6
TASKS = 12
TASK_S = 8.0
ENTRY = "agent-5f21"


def runs(cell):
    """Returns all runs so far as task, number, begin, end."""
    ended = [(task, number, begun, end) for minion in cell.minions
             for task, number, begun, end, _ in minion.history]
    now = time.monotonic()
    at_work = [(run.task, run.number, run.begun, now) for minion in cell.minions
               for run in minion.running.values()]
    return ended + at_work


def overlaps(history):
    """Returns the pairs of runs of one task that were at work at the same time, and for how long."""
    pairs = []
    for index, (task, number, begun, end) in enumerate(history):
        for other_task, other, other_begun, other_end in history[index + 1:]:
            both = min(end, other_end) - max(begun, other_begun)
            if task == other_task and number != other and both > 0:
                pairs.append((task, number, other, both))
    return pairs


async def case(record, trouble):
    job = platform.new_id()
    plan = lambda task, number: (8000, TASK_S, "done")
    async with platform.Deployment(record, MINIONS, 32000, plan) as cell:
        step = {"Count": TASKS, "Cpu": 8000, "MemMb": 512, "EstimateMs": int(TASK_S * 1000)}
        if not await cell.submit(job, [step]):
            raise platform.CannotRun("the job was not accepted")
        until = time.monotonic() + 10
        while len(cell.runs_of(job)) < TASKS:
            if time.monotonic() > until:
                raise platform.CannotRun("the tasks were not started")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        if trouble:
            # A program beside the minion registers itself: its service is not named in the desired state.
            busy = next(minion for minion in cell.minions if minion.running)
            entry = {"Service": "host-agent", "Address": f"{cell.net}.250:9100", "Zone": busy.zone,
                     "Version": "v3", "State": "ready", "Capacity": {"Cpu": 0, "MemMb": 0, "Gpus": 0},
                     "Labels": ["agent", busy.rack], "Machine": busy.machine, "Seq": 1,
                     "born": int(time.time() * 1000)}
            record.write(f"store gets the entry servers/{ENTRY}: {entry}")
            cell.store.put("servers", ENTRY, entry)
        until = time.monotonic() + 3 * TASK_S
        while time.monotonic() < until and await cell.state(job, quiet=True) != "done":
            cell.advance()
            await asyncio.sleep(0.05)
        doubled = overlaps(runs(cell))
        for task, number, other, both in doubled:
            record.write(f"{task}: runs {number} and {other} were at work together for {both:.3f} s")
        record.write(f"{len(runs(cell))} runs of {TASKS} tasks, the job is shown as {await cell.state(job)}")
        if doubled:
            return f"TWICE: {len(doubled)} tasks had two runs at the same time, on minions that were up"
        return None


if __name__ == "__main__":
    sys.exit(platform.main(pathlib.Path(__file__).parent, case))
