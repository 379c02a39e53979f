"""A job whose cancelling was acknowledged must not run, also if the store carries out its write late."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
sys.dont_write_bytecode = True

import platform_standins as platform  # noqa: E402

MINIONS = 4
TASKS = 4
# The bench's longest lateness of a lost write is 6 s.
LATE_S = 5.8
CANCEL_S = 3.0
CLIENT_S = 3.0


async def case(record, trouble):
    job = platform.new_id()
    plan = lambda task, number: (2000, 4.0, "done")
    body = json.dumps({"Spec": "{}", "Phases": [
        {"Count": TASKS, "Cpu": 2000, "MemMb": 128, "EstimateMs": 4000}]}).encode()
    async with platform.Deployment(record, MINIONS, 32000, plan) as cell:
        if trouble:
            cell.store.late_key, cell.store.late_s = job, LATE_S
        path = cell.PREFIX + job
        first, other = cell.instances[0], cell.instances[1]
        handed_in = time.monotonic()
        answer = await first.call("POST", path, cell.HOST_NAME, cell.KEY, body, CLIENT_S)
        record.write(f"client POST {job} at {first.name}: {answer[0] if answer else 'no answer'}")
        # The disruption of the store is over.
        cell.store.late_key = None
        if trouble and answer is not None and answer[0] in (200, 429, 503):
            raise platform.CannotRun("the POST was answered although the store gave no answer")
        acknowledged = None
        while acknowledged is None and time.monotonic() < handed_in + 10:
            answer = await other.call("DELETE", path, cell.HOST_NAME, cell.KEY, b"", CLIENT_S)
            record.write(f"client DELETE {job} at {other.name}: {answer[0] if answer else 'no answer'}")
            if answer is not None and (200 <= answer[0] < 300 or answer[0] == 410):
                acknowledged = time.monotonic()
            else:
                await asyncio.sleep(0.5)
        if acknowledged is None:
            raise platform.CannotRun("the DELETE was not acknowledged")
        while time.monotonic() < handed_in + LATE_S + 14:
            cell.advance()
            await asyncio.sleep(0.05)
        shown = await cell.state(job)
        begun = [begin for _, _, begin, _, _ in cell.history_of(job)]
        begun += [run.begun for run in cell.runs_of(job)]
        late = [begin - acknowledged for begin in begun if begin - acknowledged > CANCEL_S]
        record.write(f"{len(begun)} starts, {len(late)} of them over {CANCEL_S:.0f} s after the cancelling was "
                     f"acknowledged, the job is shown as {shown}")
        if late:
            return (f"UNASKED: {len(late)} tasks were started {min(late):.1f} s and more after the job's cancelling "
                    f"was acknowledged; the job is shown as {shown}")
        return None


if __name__ == "__main__":
    sys.exit(platform.main(pathlib.Path(__file__).parent, case))
