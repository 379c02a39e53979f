"""A settings file whose `GraceS` is a fraction."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-3"))

from cell import new_job_id, run  # noqa: E402

FRACTION_GRACE_S = 4.5
WHOLE_GRACE_S = 5
BETWEEN_S = 2.0
RESTART_S = 0.5
TRIES = 3
OBSERVED_S = 15


async def submit(cell, count):
    """@return how many jobs were accepted"""
    accepted = 0
    for _ in range(count):
        step = {"Count": 1, "Cpu": 1000, "MemMb": 64, "EstimateMs": 300, "run": {"ms": 300}}
        accepted += await cell.submit("q1", new_job_id(), [step], retries=1) == 200
    return accepted


async def restart(cell, number):
    """Stops the process as the platform does, and starts it again up to TRIES times.
    @return how often it ended by itself after a start"""
    process = cell.processes[number]
    cell.kill_process(number, signal.SIGTERM)
    for _ in range(int(cell.bounds["GraceS"] * 20)):
        if process.poll() is not None:
            break
        await asyncio.sleep(0.05)
    else:
        cell.kill_process(number)
    ends = 0
    for _ in range(TRIES):
        await asyncio.sleep(RESTART_S)
        cell.start_process(number)
        await asyncio.sleep(RESTART_S)
        code = cell.processes[number].poll()
        if code is None:
            break
        ends += 1
        cell.record("process", instance=number, state="ended by itself", code=code)
    return ends


async def case(cell, has_trouble):
    before = await submit(cell, 10)
    cell.bounds["GraceS"] = FRACTION_GRACE_S if has_trouble else WHOLE_GRACE_S
    for number in range(cell.instance_count):
        cell.write_settings(number)
    # 0.6 of the machines are told; the others find the file when they start again.
    for number in range(round(cell.instance_count * 0.6)):
        cell.kill_process(number, signal.SIGHUP)
        await asyncio.sleep(BETWEEN_S)
    ends = {}
    for number in range(cell.instance_count):
        ends[number] = await restart(cell, number)
        await asyncio.sleep(BETWEEN_S)
    await asyncio.sleep(OBSERVED_S)
    after = await submit(cell, 10)
    dead = sum(process.poll() is not None for process in cell.processes.values())
    cell.record("finish", accepted_before=before, accepted_after=after, ends=sum(ends.values()),
                processes_down=dead)  # fmt: skip
    if dead:
        return (
            f"Fault: {dead} of {cell.instance_count} programs don't start with `GraceS` "
            f"{cell.bounds['GraceS']}; {sum(ends.values())} ends by themselves; {after} of 10 jobs "
            f"were accepted afterwards, {before} of 10 before"
        )
    return None


if __name__ == "__main__":
    sys.exit(run(case, os.environ.get("RECORD_FOLDER", FOLDER)))
