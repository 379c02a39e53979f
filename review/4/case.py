"""A gang waits for ever, since its tickets expire in turns.

A queue needs advice, with the figures of the site. A gang of 50 tasks needs tickets for 50 minions;
there are 40, and 12 more are added. Ten short tasks of another queue take some of the room for a
moment. Then more minions are added, until there is room for the gang twice over (TROUBLE=0: all of
them are there from the start). All minions are idle from then on, and the rule LOST is checked
`finish_s` after the last of this.
"""

import asyncio
import json
import pathlib
import sys
import time

DIRECTORY = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent / "standins"))

from deployment import BOUNDS, Deployment, HttpServer, Instance, Minion, run_case  # noqa: E402

# Advice of formula-batch on the site.
ADVICE = {"DecideMs": 702.0, "EachMs": 10.01, "ValidMs": 1500}
FIRST_MINIONS = 40
# Each scale_out adds a share of at most 0.3.
ADDED_MINIONS = 12
ADDED_LATER = (15, 20, 14)
GANG = 50
CPU = 10000
SHORT_TASKS = 10
# The short tasks are handed in this long after the system asks about the added minions, and end
# 0.65 s after the answer.
HAND_IN_S = 0.2
END_AFTER_ANSWER_S = 0.65
IDLE_S = 3.0


class AdviceService:
    """The policy service: takes one call at a time for each machine; every minion may run all."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.tickets = {}
        self.asked = []

    def server_for_one_machine(self):
        lock = asyncio.Lock()

        async def handle(method, target, headers, body):
            request = json.loads(body)
            self.asked.append((time.monotonic(), request["Step"], set(request["Workers"])))
            async with lock:
                count = len(request["Workers"])
                await asyncio.sleep((ADVICE["DecideMs"] + ADVICE["EachMs"] * count) / 1000)
                expires = time.monotonic() + ADVICE["ValidMs"] / 1000
                good = []
                for worker in request["Workers"]:
                    ticket = f"t{len(self.tickets)}"
                    self.tickets[ticket] = (request["Step"], worker, expires)
                    good.append([worker, ticket])
                self.deployment.record.add(f"advice on {request['Step']}: {count} asked and good")
                return 200, {"Good": good}

        return HttpServer(self.deployment.address(1), handle)


class TicketMinion(Minion):
    """Refuses starts of the gang's queue without a valid ticket."""

    def start_run(self, order):
        job, occurrence, step, _ = order["Task"].split(".")
        if "needs_ticket" in order["Spec"] and (order["Task"], order["Run"]) not in self.running:
            known = self.deployment.advice.tickets.get(order.get("Ticket"))
            if known is None or known[:2] != (f"{job}.{occurrence}.{step}", self.id) or \
                    known[2] < time.monotonic():
                self.extend(order)
                return self.reply(409, Reason="ticket")
        return super().start_run(order)


class AdvisedInstance(Instance):
    async def prepare(self):
        await super().prepare()
        self.advice_server = self.deployment.advice.server_for_one_machine()
        await self.advice_server.start()

    def settings(self):
        return {**super().settings(),
                "Advice": f"{self.advice_server.host}:{self.advice_server.port}"}


class AdvisedDeployment(Deployment):
    Minion = TicketMinion
    Instance = AdvisedInstance

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.advice = AdviceService(self)

    def document(self, version=1):
        document = super().document(version)
        route = document["Routes"][0]
        document["Routes"] = [
            {**route, "Priority": 1, "Advice": ADVICE},
            {**route, "Name": "short", "PathPrefix": "/short/", "Priority": 0, "SloMs": 250,
             "Stretch": 1.5}]
        return document


async def scenario(deployment, has_trouble):
    record = deployment.record
    added = [deployment.add_minion() for _ in range(ADDED_MINIONS)]
    later = [[deployment.add_minion() for _ in range(count)] for count in ADDED_LATER]
    if not has_trouble:
        for minion in [*added, *(minion for group in later for minion in group)]:
            await minion.begin()
        await asyncio.sleep(2.0)
    gang, _ = await deployment.submit(
        [{"Count": GANG, "Cpu": CPU, "MemMb": 1000, "EstimateMs": 1000, "Gang": True}],
        [{"ms": 1000, "gang": GANG, "needs_ticket": True}])
    await asyncio.sleep(3.5)
    if has_trouble:
        record.add(f"{ADDED_MINIONS} minions are added")
        for minion in added:
            await minion.begin()
    names = {minion.id for minion in added}
    until = time.monotonic() + 5.0
    while time.monotonic() < until and not any(names & asked for _, _, asked in
                                               deployment.advice.asked):
        await asyncio.sleep(0.01)
    await asyncio.sleep(HAND_IN_S)
    answer_s = (ADVICE["DecideMs"] + ADVICE["EachMs"] * ADDED_MINIONS) / 1000
    short_ms = int(1000 * (answer_s - HAND_IN_S + END_AFTER_ANSWER_S))
    await deployment.submit(
        [{"Count": SHORT_TASKS, "Cpu": CPU, "MemMb": 1000, "EstimateMs": short_ms}],
        [{"ms": short_ms}], prefix="/short/")
    for group in later:
        await asyncio.sleep(3.0)
        if has_trouble:
            record.add(f"{len(group)} minions are added")
            for minion in group:
                await minion.begin()
    room = sum(minion.cores * 1000 // CPU for minion in deployment.minions if minion.is_up)
    record.add(f"the last disturbance; room for {room} tasks, the gang has {GANG}")
    await asyncio.sleep(BOUNDS["finish_s"])
    state = await deployment.state(gang)
    if state == "done":
        return None
    begin = time.monotonic()
    while time.monotonic() - begin < IDLE_S:
        if deployment.running_count() > 0:
            return None
        await asyncio.sleep(0.01)
    state = await deployment.state(gang)
    record.add(f"the gang is {state}; no minion ran anything for {IDLE_S} s")
    if state == "done":
        return None
    return (f"LOST: an accepted job, shown as {state}, has nothing running for {IDLE_S} s though "
            f"its turn has come, and all minions are idle")


run_case(DIRECTORY, scenario, kind=AdvisedDeployment, minions=FIRST_MINIONS)
