"""Stand-ins of the users' platform on loopback: its store, minions, clients and the starter of processes.

They follow the users' pages. Where a page is silent they behave like a sound store, minion or client. Everything runs on
one asyncio loop and uses the standard library only.
"""

import asyncio
import base64
import bisect
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
# The command of deploy/system.toml.
COMMAND = [
    str(REPOSITORY / "target/bin/zinc-entry"),
    "--platform", "ZINCSHORE_BOOT",
    "--metrics-port", "9464",
    "--traffic-threads-on-platform", "0",
]
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be brought about, so that it shows nothing."""


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def network():
    """Returns the first three bytes of a loopback network that belongs to this process."""
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{pid % 250}"


def free_port(host):
    with socket.socket() as listener:
        listener.bind((host, 0))
        return listener.getsockname()[1]


class HttpServer:
    """An HTTP/1.1 server. The handler gets method, target, headers and body, and returns status and body.

    A handler that returns None gives no answer: the connection is closed.
    """

    def __init__(self, host, port, handler):
        self.host = host
        self.port = port
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stops listening and resets all connections, as the end of the process does."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    break
                status, content = answer
                data = json.dumps(content, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            # The other end has gone, or the run of the case is over.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: rows in tables, transactions and feeds."""

    ROW_BYTES = 65536
    MAX_ENTRIES = 100
    MAX_CALL_BYTES = 1_000_000
    MAX_ROWS = 500
    TRANSACTION_S = 0.004

    def __init__(self, host, record):
        self.record = record
        self.rows = {}
        # Sorted names by table and part, made when a range is read.
        self.sorted = {}
        self.version = 1
        self.changes = []
        self.changed = asyncio.Event()
        self.server = HttpServer(host, 0, self.handle)
        # Transactions that write a key with this beginning get no answer and are performed later.
        self.late_key = None
        self.late_s = 0.0

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """Writes a row of the operator or of a minion."""
        self.version += 1
        self.set((table, "", key), json.dumps(value, separators=(",", ":")).encode())
        self.wake()

    def set(self, name, value):
        if name not in self.rows:
            self.sorted.pop(name[:2], None)
        self.rows[name] = (value, self.version)
        self.changes.append((self.version, name))

    def remove(self, name):
        if self.rows.pop(name, None) is not None:
            self.sorted.pop(name[:2], None)
            self.changes.append((self.version, name))

    def add_old(self, rows):
        """Adds rows that were written so long ago that the history names them no more."""
        self.version += 1
        for name, value in rows:
            self.rows[name] = (value, self.version)
        self.sorted.clear()

    def drop(self, table, key):
        if (table, "", key) in self.rows:
            self.version += 1
            self.remove((table, "", key))
            self.wake()

    def envelope(self, **more):
        return {"Ver": self.version, "NowMs": int(time.monotonic() * 1000), **more}

    def encode(self, name):
        table, part, key = name
        row = {"Table": table, "part": part, "Key": key}
        if name in self.rows:
            value, version = self.rows[name]
            return {**row, "Value": base64.b64encode(value).decode(), "Ver": version}
        return {**row, "Deleted": True}

    async def handle(self, method, target, _headers, body):
        url = urlsplit(target)
        query = {key: value[0] for key, value in parse_qs(url.query, keep_blank_values=True).items()}
        if (method, url.path) == ("POST", "/v1/rows-tx"):
            if self.late_key is not None and self.late_key in self.keys_of(body):
                # A channel on which an answer is lost delivers nothing further.
                await asyncio.sleep(self.late_s)
                self.record.write(f"store performs a write of {self.late_key} late: {self.transact(body)[0]}")
                await asyncio.sleep(60)
                return None
            await asyncio.sleep(self.TRANSACTION_S)
            return self.transact(body)
        if (method, url.path) == ("GET", "/v1/rows-get"):
            await asyncio.sleep(self.TRANSACTION_S)
            return self.read(query)
        if (method, url.path) == ("GET", "/v1/rows-feed"):
            return await self.feed(query)
        return 404, {}

    @staticmethod
    def keys_of(body):
        """Returns the beginnings, up to a dot, of the keys that a transaction writes."""
        return {entry["Key"].partition(".")[0] for entry in json.loads(body).get("Writes") or []}

    def transact(self, body):
        if len(body) > self.MAX_CALL_BYTES:
            return 400, {}
        call = json.loads(body)
        name = lambda entry: (entry["Table"], entry.get("part", ""), entry["Key"])
        expected, writes, removed = (call.get(key) or [] for key in ("ExpectedRev", "Writes", "Remove"))
        entries = [*expected, *writes, *removed]
        parts = {name(entry)[1] for entry in entries}
        if not entries or len(entries) > self.MAX_ENTRIES or (len(parts) > 1 and not call.get("Across")):
            return 400, {}
        if any(name(entry)[0] in ("op", "servers") for entry in [*writes, *removed]):
            return 403, {}
        values = [base64.b64decode(entry["Value"]) for entry in writes]
        for entry, value in zip(writes, values):
            if len(value) > self.ROW_BYTES:
                self.record.write(f"store 400 the value of {entry['Key']} has {len(value)} bytes, "
                                  f"RowBytes is {self.ROW_BYTES}")
                return 400, {}
        if any(self.rows.get(name(entry), (b"", 0))[1] != entry["Ver"] for entry in expected):
            return 412, self.envelope(rows=[self.encode(name(entry)) for entry in expected
                                            if name(entry) in self.rows])
        self.version += 1
        for entry, value in zip(writes, values):
            self.set(name(entry), value)
        for entry in removed:
            self.remove(name(entry))
        self.wake()
        return 200, self.envelope()

    def read(self, query):
        low, high = query.get("From", ""), query.get("Target", "")
        part = (query.get("Table", ""), query.get("part", ""))
        if part not in self.sorted:
            self.sorted[part] = sorted(name for name in self.rows if name[:2] == part)
        names = self.sorted[part]
        begin = bisect.bisect_left(names, (*part, low))
        names = names[begin:bisect.bisect_left(names, (*part, high)) if high else None]
        limit = min(self.MAX_ROWS, int(query.get("Limit", self.MAX_ROWS)))
        rows, size = [], 0
        for name in names[:limit]:
            row = self.encode(name)
            size += len(row["Value"])
            if rows and size > self.MAX_CALL_BYTES:
                break
            rows.append(row)
        return 200, self.envelope(rows=rows, HasMore=len(rows) < len(names))

    async def feed(self, query):
        table, after = query.get("Table"), int(query.get("After", "0"))
        until = time.monotonic() + min(30_000, int(query.get("WaitMs", "0"))) / 1000
        while True:
            changed = self.changed
            latest = {}
            for version, name in reversed(self.changes):
                if version <= after:
                    break
                if name[0] == table:
                    latest.setdefault(name, version)
            left = until - time.monotonic()
            if latest or left <= 0:
                names = sorted(latest, key=lambda name: latest[name])
                rows = [{"Ver": latest[name], **self.encode(name)} for name in names[:self.MAX_ROWS]]
                version = rows[-1]["Ver"] if len(names) > self.MAX_ROWS else self.version
                return 200, {**self.envelope(rows=rows), "Ver": version}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, number, milli_cores, ends_at, end):
        self.task = task
        self.number = number
        self.milli_cores = milli_cores
        self.begun = time.monotonic()
        self.ends_at = ends_at
        self.end = end


class Minion:
    """One machine; each of its lives is a minion of the service."""

    HEARTBEAT_S = 1.5
    HOLD_MAX_MS = 6000
    STOP_S = 0.2
    MAX_LISTED_ENDS = 500

    def __init__(self, machine, zone, rack, host, store, record, service, milli_cores, plan, records_runs):
        self.machine, self.zone, self.rack, self.host = machine, zone, rack, host
        self.store, self.record, self.service = store, record, service
        self.milli_cores = milli_cores
        self.records_runs = records_runs
        # If set, orders to stop a run get no answer and are carried out after so many seconds.
        self.late_stop_s = None
        # Fencing tokens of these orders.
        self.late_tokens = []
        # Maps a task to its milli-cores, its seconds (None for one that lasts) and its end.
        self.plan = plan
        self.life = 0
        self.id = None
        self.server = None
        self.beats = None
        # Every start over all lives: task, run, begun, ended, how.
        self.history = []

    async def start(self):
        """Begins a life, which knows nothing of the earlier ones."""
        self.life += 1
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.clock_begin = time.monotonic()
        self.clock_offset = random.randrange(10_000, 900_000)
        self.token, self.deadline, self.sequence = 0, 0, 0
        self.running, self.highest, self.ended = {}, {}, []
        self.ended_event = asyncio.Event()
        self.server = HttpServer(self.host, 0, self.handle)
        await self.server.start()
        self.beats = asyncio.create_task(self.beat())
        self.record.write(f"minion {self.id} of {self.machine} begins")

    async def crash(self, restart_after=None):
        """Ends the life with all that it runs. Its entry goes after three heartbeat intervals."""
        self.record.write(f"minion {self.id} of {self.machine} crashes with "
                          f"{sorted(run.task for run in self.running.values())}")
        self.beats.cancel()
        await self.server.stop()
        for run in list(self.running.values()):
            self.finish(run, "crashed")
        old = self.id
        self.id = None
        asyncio.create_task(self.expire(old))
        if restart_after is not None:
            await asyncio.sleep(restart_after)
            await self.start()

    async def expire(self, identity):
        await asyncio.sleep(3 * self.HEARTBEAT_S)
        self.store.drop("servers", identity)

    async def stop(self):
        if self.id is not None and self.server is not None:
            self.beats.cancel()
            await self.server.stop()

    def clock(self):
        return self.clock_offset + int((time.monotonic() - self.clock_begin) * 1000)

    async def beat(self):
        number = 0
        while True:
            number += 1
            self.store.put("servers", self.id, {
                "Service": self.service, "Address": f"{self.host}:{self.server.port}", "Zone": self.zone,
                "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
                "Capacity": {"Cpu": self.milli_cores, "MemMb": 65536, "Gpus": 0},
                "Labels": ["a", self.rack], "ClockMs": self.clock(), "Seq": number,
                "Machine": self.machine, "born": self.born})
            await asyncio.sleep(self.HEARTBEAT_S)

    def finish(self, run, how):
        """Takes a run off the minion and keeps it in the history."""
        self.running.pop((run.task, run.number), None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.history.append((run.task, run.number, run.begun, time.monotonic(), how))
        self.record_run(run.task, run.number, f"ends {how}")

    def record_run(self, task, number, what):
        if self.records_runs:
            self.record.write(f"run {task}#{number} at {self.id} of {self.machine} {what}")

    def advance(self):
        """Ends what is due."""
        now = time.monotonic()
        lapsed = self.deadline <= self.clock()
        for run in list(self.running.values()):
            if run.ends_at is not None and run.ends_at <= now:
                how = run.end
            elif lapsed:
                how = "lapsed"
            else:
                continue
            self.finish(run, how)
            self.sequence += 1
            self.ended.append([self.sequence, run.task, run.number, how, ""])
            self.ended_event.set()
            self.ended_event = asyncio.Event()

    def next_end(self):
        ends = [run.ends_at for run in self.running.values() if run.ends_at is not None]
        return min(ends, default=None)

    def reply(self, status=200, **more):
        return status, {"ClockMs": self.clock(), "born": self.born, **more}

    def extend(self, order):
        if "DeadlineMs" in order:
            asked = min(order["DeadlineMs"], self.clock() + self.HOLD_MAX_MS)
            self.deadline = max(self.deadline, asked)

    async def handle(self, method, target, headers, body):
        if self.id is None:
            return None
        if method == "GET":
            return self.reply()
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body)
        self.advance()
        if order.get("FencingToken", 0) < self.token:
            return self.reply(409, Reason="fence")
        self.token = order.get("FencingToken", 0)
        if target == "/v1/run-start":
            return self.begin(order)
        if target == "/v1/run-stop" and self.late_stop_s is not None:
            self.record.write(f"stop of {order['Task']}#{order['Run']} at {self.id} gets no answer")
            self.late_tokens.append(order.get("FencingToken", 0))
            asyncio.get_running_loop().call_later(self.late_stop_s, self.end_late, self.id, order)
            await asyncio.sleep(60)
            return None
        if target == "/v1/run-stop":
            return self.end(order)
        if target == "/v1/hold":
            return await self.hold(order)
        return self.reply(400)

    def begin(self, order):
        task, number = order["Task"], order["Run"]
        self.extend(order)
        if (task, number) in self.running:
            return self.reply()
        if number <= self.highest.get(task, 0):
            return self.reply(409, Reason="old")
        if self.deadline <= self.clock():
            return self.reply(409, Reason="late")
        milli_cores, seconds, how = self.plan(task, number)
        ends_at = None if seconds is None else time.monotonic() + seconds
        self.running[task, number] = Run(task, number, milli_cores, ends_at, how)
        self.record_run(task, number, "begins")
        return self.reply()

    def end(self, order):
        task, number = order["Task"], order["Run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get((task, number))
        if run is not None:
            until = time.monotonic() + self.STOP_S
            if run.ends_at is None or run.ends_at > until:
                run.ends_at, run.end = until, "stopped"
        return self.reply()

    def end_late(self, identity, order):
        # The order was for the life that got it.
        if self.id == identity and order.get("FencingToken", 0) >= self.token:
            self.end(order)

    async def hold(self, order):
        self.extend(order)
        seen = order.get("LastSeen", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        until = time.monotonic() + min(2000, order.get("WaitMs", 0)) / 1000
        while not self.ended:
            left = until - time.monotonic()
            if left <= 0:
                break
            due = self.next_end()
            wait = left if due is None else max(0.001, min(left, due - time.monotonic()))
            try:
                await asyncio.wait_for(self.ended_event.wait(), wait)
            except asyncio.TimeoutError:
                pass
            self.advance()
        percent = lambda run: 100 if run.ends_at is None else min(99, int(
            100 * (time.monotonic() - run.begun) / max(0.001, run.ends_at - run.begun)))
        return self.reply(
            Running=[[run.task, run.number, "", percent(run), run.milli_cores]
                     for run in self.running.values()],
            Ended=self.ended[:self.MAX_LISTED_ENDS])


class Instance:
    """One process of the system, with settings like those of a small deployment."""

    def __init__(self, name, zone, host, peer_port, folder, store_address, memory_mb):
        self.name, self.zone, self.host = name, zone, host
        self.front, self.ready = free_port(host), free_port(host)
        self.settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process = None
        self.settings.write_text(json.dumps({
            "Node": name, "Role": "entry", "Class": "front", "Serves": ["front"], "Ip": host,
            "Zone": zone, "Region": "area", "Zones": {"north": "area", "south": "area", "west": "area"},
            "Listen": {"Front": f"{host}:{self.front}", "Ready": f"{host}:{self.ready}"},
            "PortRange": [peer_port, peer_port + 15], "Seeds": [], "Bootstrap": True,
            "CountsAsLoss": False,
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": memory_mb, "MaxFds": 4200,
                       "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1500,
            "Contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota",
                          "platform"],
            "Tolerate": {"Machines": 2, "Zones": 1, "Regions": 0},
            "Bounds": {"ContactMs": 3000, "AckMs": 4000, "DrainMs": 2000, "GraceS": 6, "ConfigMs": 2000,
                       "HoldMaxMs": 6000, "KillGraceMs": 200, "GangTimeoutMs": 3000, "cancel_ms": 3000,
                       "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
                       "CheckpointS": 1, "RestoreMs": 250},
            "Orders": "rpc",
            "platform": {"Address": store_address, "form": "table", "WritesPerS": 600,
                         "ReadsPerS": 2000, "TxMs": 4.0, "PartWritesS": 250,
                         "RowBytes": Store.ROW_BYTES, "Across": True, "HistoryS": 20},
        }))

    async def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=REPOSITORY, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                env={**environment, "ZINCSHORE_BOOT": str(self.settings)})

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def call(self, method, path, host_name, key="", body=b"", timeout=3.0):
        """Returns status and decoded body, or None if there was no complete answer in time."""
        return await call(self.host, self.front, method, path, host_name, key, body, timeout)


async def call(host, port, method, path, host_name, key="", body=b"", timeout=3.0):
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {host_name}\r\n"
            if key:
                head += f"Authorization: Bearer {key}\r\n"
            head += f"Content-Type: application/json\r\nX-Deadline-Ms: {int(timeout * 1000)}\r\n"
            writer.write(head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
            length = next((int(line.split(":")[1]) for line in lines if line.startswith("content-length")), 0)
            content = await reader.readexactly(length)
            return int(lines[0].split()[1]), json.loads(content) if content else {}
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


class Deployment:
    """A small deployment: three instances in three zones, a store and some minions of one service."""

    HOST_NAME = "work.example"
    PREFIX = "/work/"
    KEY = "key-of-the-tenant"
    ZONES = ("north", "south", "west")

    def __init__(self, record, minions, milli_cores, plan, instances=3, maximum=None, memory_mb=260,
                 records_runs=True):
        self.record = record
        self.memory_mb = memory_mb
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="zinc-review-"))
        net = network()
        self.store = Store(f"{net}.1", record)
        self.maximum = maximum or {"Cpu": 0, "MemMb": 0, "Gpus": 0}
        self.minions = [
            Minion(f"m-{number}", self.ZONES[number % 3], f"r-{number // 4}", f"{net}.{100 + number}",
                   self.store, record, "pool", milli_cores, plan, records_runs)
            for number in range(minions)]
        self.net = net
        self.instance_count = instances
        self.instances = []
        # Activities beside the case that end with it.
        self.tasks = []
        self.next_instance = 0

    async def __aenter__(self):
        try:
            return await self.start()
        except BaseException:
            await self.stop()
            raise

    async def start(self):
        if not os.access(COMMAND[0], os.X_OK):
            raise CannotRun("target/bin/zinc-entry is missing: run the build of the deploy file")
        await self.store.server.start()
        self.store.put("op", "config", self.document())
        for minion in self.minions:
            await minion.start()
        peer_port = 20_000 + os.getpid() % 10_000
        for number in range(self.instance_count):
            zone = self.ZONES[number % 3]
            instance = Instance(f"front-{zone}-{number}", zone, f"{self.net}.{10 + number}", peer_port,
                                self.folder, f"{self.store.server.host}:{self.store.server.port}",
                                self.memory_mb)
            self.instances.append(instance)
            await instance.start()
        until = time.monotonic() + 15
        for instance in self.instances:
            while True:
                answer = await call(instance.host, instance.ready, "GET", "/v1/readiness", "probe")
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{instance.name} did not get ready")
                await asyncio.sleep(0.1)
        # The sites let their traffic begin ten seconds after the machines.
        await asyncio.sleep(3)
        return self

    async def __aexit__(self, *_):
        await self.stop()

    async def stop(self):
        """Ends all processes and the stand-ins, also after a failure; nothing is started any more."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for instance in self.instances:
            await instance.kill()
        for minion in self.minions:
            await minion.stop()
        await self.store.server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def document(self):
        return {
            "Version": 7,
            "Routes": [{"Name": "r-work", "Host": self.HOST_NAME, "PathPrefix": self.PREFIX,
                        "Kind": "non_idempotent", "TimeoutMs": 3000, "SloMs": 1000, "Priority": 1,
                        "Service": "pool", "Attempts": 3, "Stretch": 2.2, "Public": False}],
            "Services": [{"Name": "pool", "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1",
                          "Tls": False, "EnforcesCapacity": False, "Standby": False}],
            "Limits": {"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "tenant", "ApiKeys": [self.KEY], "Priority": 1, "Weight": 38,
                         "Maximum": self.maximum}],
        }

    def front(self):
        """Returns the instances in turn, as the platform's balancer spreads channels."""
        self.next_instance += 1
        return self.instances[self.next_instance % len(self.instances)]

    async def submit(self, job, phases, spec="{}", **more):
        """Hands a job in, at another instance after no answer, 429, 502, 503 or 504.

        Returns whether it was accepted."""
        body = json.dumps({"Spec": spec, "Phases": phases, **more}).encode()
        for attempt in range(5):
            instance = self.front()
            answer = await instance.call("POST", f"{self.PREFIX}{job}", self.HOST_NAME, self.KEY, body)
            self.record.write(f"client POST {job} at {instance.name}: {answer[0] if answer else 'no answer'}")
            if answer is not None and 200 <= answer[0] < 300:
                return True
            if answer is not None and answer[0] not in (429, 502, 503, 504):
                return False
            await asyncio.sleep(1.0)
        return False

    async def state(self, job, quiet=False):
        """Returns the state that a GET shows, "410", another status, or None for no answer."""
        instance = self.front()
        answer = await instance.call("GET", f"{self.PREFIX}{job}", self.HOST_NAME, self.KEY)
        shown = None if answer is None else answer[1].get("State", str(answer[0]))
        if not quiet:
            self.record.write(f"client GET {job} at {instance.name}: {shown}")
        return shown

    def runs_of(self, job):
        """Returns the runs of a job that are at work now."""
        return [run for minion in self.minions if minion.id is not None
                for run in minion.running.values() if run.task.startswith(job + ".")]

    def history_of(self, job):
        return [entry for minion in self.minions for entry in minion.history
                if entry[0].startswith(job + ".")]

    def used(self):
        return sum(run.milli_cores for minion in self.minions if minion.id is not None
                   for run in minion.running.values())

    def advance(self):
        for minion in self.minions:
            if minion.id is not None:
                minion.advance()


def leader_of(deployment):
    """Returns the instance that last wrote the leader record."""
    for (table, _, key), (value, _) in deployment.store.rows.items():
        if (table, key) == ("zinc-cell", "owner"):
            leader = json.loads(value)["instance"]
            return next(instance for instance in deployment.instances if instance.name == leader)
    raise CannotRun("no process has written under a condition")


def resident_mb(process):
    """Returns the resident memory of a process, or 0 if it has ended."""
    try:
        for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


async def enforce_memory(cell, kills):
    """Kills a process that exceeds its memory, and starts each that has ended again, as the platform does.

    Appends the name of each process that it kills.
    """
    restart_s = 1.0
    while True:
        for instance in cell.instances:
            process = instance.process
            if process.returncode is None and resident_mb(process) > cell.memory_mb:
                cell.record.write(f"platform kills {instance.name}, which has {resident_mb(process):.0f} MB "
                                  f"and may have {cell.memory_mb}")
                kills.append(instance.name)
                await instance.kill()
            if process.returncode is not None:
                await asyncio.sleep(restart_s)
                await instance.start()
                cell.record.write(f"platform starts {instance.name}")
        await asyncio.sleep(0.02)


def new_id():
    return f"{random.getrandbits(64):016x}"


async def run_bounded(case):
    """Runs a case for 115 s at most, and ends it in good order if the script is asked to end."""
    current = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, current.cancel)
    return await asyncio.wait_for(case, 115)


def main(folder, case):
    """Runs a case: a coroutine that gets the record and whether there is trouble, and returns what broke."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(run_bounded(case(record, trouble)))
    except (Exception, asyncio.CancelledError) as error:  # Only a broken rule may end with 1.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return NOT_RUN
    verdict = f"broken: {broken}" if broken else "held"
    record.write(verdict)
    print(verdict)
    return BROKEN if broken else HELD
