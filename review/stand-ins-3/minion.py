"""Stand-in for a minion (PROTOCOL.md, "Running tasks" and "Service discovery")."""

import asyncio
import json
import time

import http_io

LISTED_ENDS = 500


class Minion:
    """One machine; each call of begin() is a new lifetime."""

    def __init__(self, store, name, host, port, service, record, options):
        self.store, self.name, self.host, self.port = store, name, host, port
        self.service, self.record, self.options = service, record, options
        self.lives = 0
        self.server = None
        self.is_up = False
        self.state = "ready"

    async def begin(self):
        self.lives += 1
        self.id = f"{self.name}-{self.lives}"
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic() - 10.0
        self.token = self.deadline = self.last_end = 0
        self.running, self.ended, self.highest = {}, [], {}
        self.wake = asyncio.Event()
        self.state = "ready"
        self.server = await http_io.serve(self.host, self.port, self.handle)
        self.is_up = True
        self.tasks = [
            asyncio.create_task(self.heartbeat()),
            asyncio.create_task(self.watch_lease()),
        ]

    async def end(self, dark=False):
        """Crashes: everything that runs here ends, and nothing is said about it.
        @param dark the machine has no power: channels to it hang, in place of being reset"""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        for (task, run), entry in list(self.running.items()):
            entry["timer"].cancel()
            self.record("lost", task=task, run=run, minion=self.id)
        self.running.clear()
        if not dark:
            self.server.close()
            self.server.abort_all()
        asyncio.get_running_loop().call_later(4.5, self.expire)

    def expire(self):
        """The entry goes after three heartbeat intervals of silence."""
        if not self.is_up:
            self.store.remove("servers", self.id)

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def publish(self, seq):
        self.store.put(
            "servers",
            self.id,
            {
                "Service": self.service,
                "Address": f"{self.host}:{self.port}",
                "Zone": self.options["zone"],
                "Version": "v1",
                "Slots": 8,
                "State": self.state,
                "ColdLeftMs": 0,
                "Capacity": self.options["capacity"],
                "Labels": ["a", "r1-1"],
                "Machine": self.name,
                "ClockMs": self.clock(),
                "born": self.born,
                "Seq": seq,
            },
        )

    async def heartbeat(self):
        seq = 0
        while True:
            seq += 1
            self.publish(seq)
            await asyncio.sleep(1.5)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.deadline:
                for key in list(self.running):
                    self.finish(key, "lapsed")

    def finish(self, key, how):
        entry = self.running.pop(key, None)
        if entry is None:
            return
        entry["timer"].cancel()
        self.last_end += 1
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.ended.append([self.last_end, key[0], key[1], how, ""])
        self.record("ended", task=key[0], run=key[1], minion=self.id, how=how)
        event, self.wake = self.wake, asyncio.Event()
        event.set()

    def answer(self, status=200, **fields):
        return status, {"ClockMs": self.clock(), "born": self.born, **fields}

    def extend(self, order):
        if "DeadlineMs" in order:
            latest = self.clock() + self.options["hold_max_ms"]
            self.deadline = max(self.deadline, min(latest, order["DeadlineMs"]))

    async def handle(self, method, path, query, headers, body):
        if not self.is_up:
            return None
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body)
        token = order.get("FencingToken", 0)
        if token < self.token:
            return self.answer(409, Reason="fence")
        self.token = token
        if path == "/v1/run-start":
            return self.start(order)
        if path == "/v1/run-stop":
            return self.stop(order)
        if path == "/v1/hold":
            return await self.hold(order)
        if path == "/v1/pace":
            return self.answer()
        return 404, {}

    def start(self, order):
        key = (order["Task"], order["Run"])
        self.extend(order)
        if key[1] <= self.highest.get(key[0], 0):
            return self.answer(409, Reason="old")
        if order["DeadlineMs"] <= self.clock():
            return self.answer(409, Reason="late")
        if key not in self.running:
            step = json.loads(order["Spec"])["steps"][int(key[0].split(".")[2])]
            timer = asyncio.get_running_loop().call_later(
                step["ms"] / 1000, self.finish, key, step.get("how", "done")
            )
            self.running[key] = {"timer": timer, "at": time.monotonic(), "ms": step["ms"]}
            self.record("started", task=key[0], run=key[1], minion=self.id)
        return self.answer()

    def stop(self, order):
        key = (order["Task"], order["Run"])
        self.finish(key, "stopped")
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        return self.answer()

    async def hold(self, order):
        self.extend(order)
        self.ended = [end for end in self.ended if end[0] > order.get("LastSeen", 0)]
        life = self.lives
        until = time.monotonic() + order.get("WaitMs", 0) / 1000
        while not self.ended and time.monotonic() < until and self.lives == life:
            try:
                await asyncio.wait_for(self.wake.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if not self.is_up or self.lives != life:
            return None
        now = time.monotonic()
        running = [
            [task, run, "", min(99, int((now - e["at"]) * 100_000 / e["ms"])), 100]
            for (task, run), e in self.running.items()
        ]
        return self.answer(Running=running, Ended=self.ended[:LISTED_ENDS])
