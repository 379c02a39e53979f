"""A minion that is lost with a run of a cancelled job must not take the system's processes down."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
sys.dont_write_bytecode = True

import platform_standins as platform  # noqa: E402

MINIONS = 8
ROUNDS = 6
# Each of the long jobs fills a minion.
MILLI_CORES = 32000
LONG_S = 200.0
# Other jobs of a round, of which some end after the cancelled one.
SHORT_JOBS = 120
SHORT_S = 0.2
# Orders that get no answer are carried out 2 to 12 s later.
LATE_S = 11.0
RESTART_S = 0.3
MINION_DOWN_S = 1.0
CRASH_DELAY_S = 2.0
# An end within a second of a disruption on its machine doesn't count.
CALM_S = 1.0
ROUND_S = 6.0


async def wait_until(condition, seconds):
    """Returns whether the condition came true in time."""
    until = time.monotonic() + seconds
    while not condition() and time.monotonic() < until:
        await asyncio.sleep(0.02)
    return condition()


def is_shortened(cell, job):
    """Returns whether the system has replaced the row of the job, as it does some time after its end."""
    return any(name[2].startswith(job) and value.startswith(b"ended ")
               for name, (value, _) in cell.store.rows.items())


async def short_jobs(cell):
    """Hands in short jobs, which end after the cancelled one."""
    step = {"Count": 1, "Cpu": 1000, "MemMb": 64, "EstimateMs": int(SHORT_S * 1000)}
    jobs = [platform.new_id() for _ in range(SHORT_JOBS)]
    await asyncio.gather(*(cell.submit(job, [step]) for job in jobs))


async def case(record, trouble):
    jobs = [platform.new_id() for _ in range(ROUNDS)]
    plan = lambda task, number: ((MILLI_CORES, LONG_S, "done") if task.split(".")[0] in jobs
                                 else (1000, SHORT_S, "done"))
    crashes = []
    started = {}
    async with platform.Deployment(record, MINIONS, MILLI_CORES, plan, records_runs=False) as cell:
        step = {"Count": 1, "Cpu": MILLI_CORES, "MemMb": 64, "EstimateMs": int(LONG_S * 1000)}
        for job in jobs:
            if not await cell.submit(job, [step]):
                raise platform.CannotRun("a job was not accepted")
        await asyncio.sleep(2)
        for job in jobs:
            if not cell.runs_of(job):
                raise platform.CannotRun("a long job was not started")
        for job in jobs:
            minion = next(minion for minion in cell.minions
                          if any(run.task.startswith(job) for run in minion.running.values()))
            if trouble:
                minion.late_stop_s = LATE_S
            answer = await cell.front().call("DELETE", cell.PREFIX + job, cell.HOST_NAME, cell.KEY)
            record.write(f"client DELETE {job}: {answer[0] if answer else 'no answer'}; it runs on {minion.machine}")
            await short_jobs(cell)
            await wait_until(lambda: is_shortened(cell, job), 4)
            if trouble:
                killed = platform.leader_of(cell)
                record.write(f"{killed.name} is killed")
                await killed.kill()
                token = max(minion.late_tokens, default=0)
                await asyncio.sleep(RESTART_S)
                await killed.start()
                started[killed.name] = time.monotonic()
                # The next leader has found the run and orders its stop, too.
                await wait_until(lambda: max(minion.late_tokens, default=0) > token, 4)
                await asyncio.sleep(CRASH_DELAY_S)
                minion.late_stop_s = None
                asyncio.create_task(minion.crash(restart_after=MINION_DOWN_S))
            until = time.monotonic() + ROUND_S
            while time.monotonic() < until:
                for instance in cell.instances:
                    code = instance.process.returncode
                    if code is not None:
                        calm = time.monotonic() - started.get(instance.name, 0)
                        record.write(f"{instance.name} has ended by itself with code {code}, {calm:.1f} s after it "
                                     "was started again" if instance.name in started else
                                     f"{instance.name} has ended by itself with code {code}")
                        if code != -signal.SIGSEGV:
                            raise platform.CannotRun(f"{instance.name} has ended with code {code}")
                        if calm > CALM_S:
                            crashes.append(instance.name)
                        await asyncio.sleep(RESTART_S)
                        await instance.start()
                await asyncio.sleep(0.05)
        record.write(f"processes that ended by themselves: {crashes}")
        if len(crashes) >= 3 and len(set(crashes)) >= 2:
            return f"Fault: {len(crashes)} times a process ended by itself, on {len(set(crashes))} machines"
        return None


if __name__ == "__main__":
    sys.exit(platform.main(pathlib.Path(__file__).parent, case))
