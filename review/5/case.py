"""After the leader is killed, accepted jobs of a tenant with a space in its name are answered 410.

Two tenants, `Tamworth` and `Tamworth North`, hand in short jobs, which end as done. Some seconds
later the instance that leads is killed and starts again (TROUBLE=0: it is not killed). Then the
clients ask for their jobs.
"""

import asyncio
import pathlib
import sys

DIRECTORY = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent / "standins"))

from deployment import BOUNDS, CannotRun, run_case  # noqa: E402

TENANTS = ("Tamworth", "Tamworth North")
JOBS_PER_TENANT = 60
TASK_MS = 200
# for_s of node_kill on the site.
DOWN_S = 3.5


async def scenario(deployment, has_trouble):
    record = deployment.record
    jobs = []
    for number in range(JOBS_PER_TENANT * len(TENANTS)):
        tenant = number % len(TENANTS)
        job, status = await deployment.submit(
            [{"Count": 1, "Cpu": 500, "MemMb": 100, "EstimateMs": TASK_MS}], [{"ms": TASK_MS}],
            tenant)
        if status == 200:
            jobs.append((job, tenant))
        await asyncio.sleep(0.05)
    await asyncio.sleep(5.0)
    for job, tenant in jobs:
        state = await deployment.state(job, tenant)
        if state != "done":
            raise CannotRun(f"job {job} is {state} before the disruption")
    if has_trouble:
        leader = deployment.leader()
        await leader.kill()
        await asyncio.sleep(DOWN_S)
        await leader.start()
    # Longer than ContactMs, so that all instances are in touch again.
    await asyncio.sleep(BOUNDS["ContactMs"] / 1000 + 5.0)
    gone = []
    for job, tenant in jobs:
        state = await deployment.state(job, tenant)
        if state == "410":
            gone.append((job, tenant))
    record.add(f"{len(gone)} of {len(jobs)} accepted jobs are answered 410: "
               f"{[sum(1 for _, owner in gone if owner == tenant) for tenant in range(2)]}")
    # The key of one tenant, the job of the other.
    foreign = 0
    for job, tenant in jobs:
        if tenant == 1 and await deployment.state(job, 0) != "410":
            foreign += 1
    record.add(f"{foreign} jobs of {TENANTS[1]} are shown to {TENANTS[0]}")
    if gone:
        names = sorted({TENANTS[tenant] for _, tenant in gone})
        return (f"LOST: {len(gone)} of {len(jobs)} accepted jobs that nobody has cancelled are "
                f"answered 410, all of {names}; {foreign} are shown to {TENANTS[0]}")
    return None


run_case(DIRECTORY, scenario, tenants=TENANTS)
