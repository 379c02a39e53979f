"""A lasting job whose minion crashes twice must be restarted, not shown as failed."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
sys.dont_write_bytecode = True

import platform_standins as platform  # noqa: E402

MINIONS = 8
# The largest time that the sites name for srv_crash is 5 s.
DOWN_S = 4.0
CRASHES = 2
# A task that lasts has to run again 6 s after its last run, and 3 s more have to pass.
RESTART_S = 6.0
STANDSTILL_S = 3.0


async def case(record, trouble):
    job = platform.new_id()
    plan = lambda task, number: (2000, None, "failed")
    async with platform.Deployment(record, MINIONS, 32000, plan) as cell:
        phases = [{"Count": 1, "Cpu": 2000, "MemMb": 512, "EstimateMs": 1000, "Perpetual": True}]
        if not await cell.submit(job, phases):
            raise platform.CannotRun("the job was not accepted")
        down = []
        for _ in range(CRASHES):
            until = time.monotonic() + 15
            while not cell.runs_of(job):
                if time.monotonic() > until:
                    return "LOST: the lasting task was not started for 15 s"
                await asyncio.sleep(0.1)
            # It is at work for some seconds.
            await asyncio.sleep(4)
            if trouble:
                victim = next(minion for minion in cell.minions
                              if minion.id is not None and minion.running)
                down.append(asyncio.create_task(victim.crash(restart_after=DOWN_S)))
            await asyncio.sleep(DOWN_S + 4)
        broken = None
        idle_since = time.monotonic()
        until = time.monotonic() + 25
        while time.monotonic() < until:
            cell.advance()
            if cell.runs_of(job):
                idle_since = time.monotonic()
            shown = await cell.state(job)
            if shown == "failed":
                broken = "LOST: the job is shown as failed, and no run has ended failed"
            if time.monotonic() - idle_since > RESTART_S + STANDSTILL_S:
                broken = (broken or "LOST:") + "; its task that lasts has not run for 9 s"
                break
            await asyncio.sleep(0.5)
        if any(entry[4] == "failed" for entry in cell.history_of(job)):
            raise platform.CannotRun("a run ended as failed")
        await asyncio.gather(*down)
        return broken


if __name__ == "__main__":
    sys.exit(platform.main(pathlib.Path(__file__).parent, case))
