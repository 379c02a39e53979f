"""Runs that the next life of a minion has begun are taken for lost and started elsewhere.

One minion after another loses power for 0.2 s and begins again under its id. A client hands a job
in just after that; the data of its tasks is near this minion. Starts that travel on new channels reach the new
life. When the system then reads in the store that the minion was born again, it takes these runs
for those of the former life and starts them at another minion (TROUBLE=0: no minion loses power).
"""

import asyncio
import pathlib
import sys

DIRECTORY = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent / "standins"))

from deployment import run_case  # noqa: E402

ROUNDS = 5
DOWN_S = 0.2
# The new life writes its row this long after its start.
REGISTER_S = 0.4
# The job is handed in this long after the new life has begun.
HAND_IN_S = 0.05
TASK_MS = 2000
# The first job of a round leaves one or two idle channels to the minion.
FIRST_TASKS = 1
TASKS = 6


async def scenario(deployment, has_trouble):
    record = deployment.record
    twice = set()

    def check(_, order):
        task = order["Task"]
        runs = [(run, minion.id) for minion in deployment.minions if minion.is_up
                for name, run in minion.running if name == task]
        if len(runs) > 1:
            record.add(f"two runs of {task} at one time: {runs}")
            twice.add(task)

    deployment.start_handlers.append(check)

    async def hand_in(count, near):
        await deployment.submit(
            [{"Count": count, "Cpu": 500, "MemMb": 100, "EstimateMs": TASK_MS,
              "Affinity": near.rack}], [{"ms": TASK_MS}])

    for victim in deployment.minions[:ROUNDS]:
        await hand_in(FIRST_TASKS, victim)
        await asyncio.sleep(4.0)
        if has_trouble:
            victim.crash(is_dark=True)
            await asyncio.sleep(DOWN_S)
            await victim.begin(keeps_id=True, register_after=REGISTER_S)
            await asyncio.sleep(HAND_IN_S)
        await hand_in(TASKS, victim)
        await asyncio.sleep(5.0)
    if twice:
        return f"TWICE: {len(twice)} tasks had two runs at one time on minions that are up"
    return None


run_case(DIRECTORY, scenario, rack_size=1)
