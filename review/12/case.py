"""Timed jobs with many past occurrences: the leader's memory grows with each of them."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-3"))

from cell import new_job_id, run  # noqa: E402

JOBS = 5
TIMES = 100_000
INTERVAL_MS = 1
MEMORY_MB = 260
RESTART_S = 1
OBSERVED_S = 100


def resident_mb(pid):
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
    except OSError:
        return 0


async def case(cell, has_trouble):
    cell.counts_runs = True
    step = {"Count": 1, "Cpu": 100, "MemMb": 16, "EstimateMs": 20, "run": {"ms": 20}}
    times = TIMES if has_trouble else TIMES // 100
    for _ in range(JOBS):
        await cell.submit("q0", new_job_id(), [step], Times=times, IntervalMs=INTERVAL_MS)
    ends = {}
    highest = 0
    begin = cell.now()
    next_line = begin
    while cell.now() < begin + OBSERVED_S:
        for number, process in list(cell.processes.items()):
            size = resident_mb(process.pid)
            highest = max(highest, size)
            if size > MEMORY_MB:
                # The platform kills a process that exceeds its memory, and restarts it.
                cell.record("memory", instance=number, mb=round(size))
                cell.kill_process(number)
                process.wait()
                ends[number] = ends.get(number, 0) + 1
                asyncio.get_running_loop().call_later(RESTART_S, cell.start_process, number)
        if cell.now() > next_line:
            next_line += 5
            cell.record("so_far", **cell.run_counts, highest_mb=round(highest))
        await asyncio.sleep(0.05)
    cell.record("finish", ends=sum(ends.values()), machines=len(ends), highest_mb=round(highest))
    if len(ends) >= 2 and sum(ends.values()) >= 3:
        return (
            f"Fault: processes on {len(ends)} of {cell.instance_count} machines exceeded "
            f"{MEMORY_MB} MB {sum(ends.values())} times"
        )
    return None


if __name__ == "__main__":
    sys.exit(run(case, os.environ.get("RECORD_FOLDER", FOLDER)))
