"""A job with a lasting task is given up after two minions have crashed under the task.

One tenant hands in a job with one task that lasts. The minion that runs it crashes and begins a
new life 4.5 s later; some seconds after the task is at work elsewhere, its minion crashes too. The
task never ends `failed`, and nobody cancels the job (TROUBLE=0: no minion crashes).
"""

import asyncio
import pathlib
import sys
import time

DIRECTORY = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent / "standins"))

from deployment import CannotRun, run_case  # noqa: E402

CRASHES = 2
# for_s of srv_crash on the site.
DOWN_S = 4.5
# Time at work between a start and the crash.
AT_WORK_S = 6.0
# The rule gives a lasting task 6 s from its last run, and looks at spans of 3 s after 4 s of calm.
RESTART_S = 6.0
CALM_S = 4.0
IDLE_S = 3.0


async def wait_for_run(deployment, job, seconds):
    """@return the minion that runs the job's task, or None"""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        runs = deployment.runs_of(job)
        if runs:
            return runs[0][2]
        await asyncio.sleep(0.02)
    return None


async def crash(deployment, minion):
    minion.crash()
    await asyncio.sleep(DOWN_S)
    await minion.begin()


async def scenario(deployment, has_trouble):
    record = deployment.record
    job, status = await deployment.submit(
        [{"Count": 1, "Cpu": 1000, "MemMb": 100, "EstimateMs": 1000, "Perpetual": True}], [{}])
    if status != 200:
        raise CannotRun(f"the job was answered {status}")
    for number in range(CRASHES):
        minion = await wait_for_run(deployment, job, 15.0)
        if minion is None:
            raise CannotRun("the task was not started")
        await asyncio.sleep(AT_WORK_S)
        if has_trouble:
            await crash(deployment, minion)
    # All minions are up from here on.
    await asyncio.sleep(max(CALM_S, RESTART_S))
    state = await deployment.state(job)
    failed_ends = [line for line in record.lines if " end   " in line and line.endswith("failed")]
    begin = time.monotonic()
    while time.monotonic() - begin < IDLE_S and not deployment.runs_of(job):
        await asyncio.sleep(0.02)
    has_run = bool(deployment.runs_of(job))
    record.add(f"state {state}, ends failed: {len(failed_ends)}, runs again: {has_run}")
    if failed_ends:
        raise CannotRun("a run ended failed")
    if state in ("failed", "cancelled"):
        return f"LOST: the job is shown as {state}, though no run ended failed"
    if not has_run:
        return f"LOST: the lasting task has had no run for {IDLE_S} s, all minions are idle"
    return None


run_case(DIRECTORY, scenario)
