"""Stand-ins of the users' platform for the scripts of the cases.

The store, the minions and the clients run on one event loop in this process. The project's own
programs run as separate processes, started with the command of deploy/system.toml. Every address
is a loopback address of a network that is drawn for each run.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]

with open(REPOSITORY / "deploy" / "system.toml", "rb") as deploy_file:
    COMMAND = tomllib.load(deploy_file)["roles"]["entry"]["run"].split()
PROGRAM = REPOSITORY / COMMAND[0]

# Bounds of the deployment on which the scripts are modelled, wrekin-roster.
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchupS": 4,
    "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200, "ConfigMs": 2000, "RollbackSlackMs": 250,
    "MaxStretchMs": 5000, "QuotaExcess": 0.1, "RecoveryS": 12, "HoldMaxMs": 6000,
    "KillGraceMs": 200, "GangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "RemoteFactor": 2, "CheckpointS": 1,
    "RestoreMs": 250, "NoticeMs": 4500, "LeaseMs": 3000, "PaceMs": 100, "HarmMs": 4000,
}
HEARTBEAT_S = 1.5
ROW_TIMEOUT_S = 3 * HEARTBEAT_S
ROW_BYTES = 65536
TRANSACTION_BYTES = 1_000_000
TRANSACTION_ENTRIES = 100
TRANSACTION_S = 0.004
LISTED_ENDS = 500
LISTED_ROWS = 500
MEMORY_MB = 260


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.path = path
        self.begin = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.begin

    def add(self, text):
        self.lines.append(f"{self.now():9.3f} {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


class HttpServer:
    """Serves HTTP/1.1 with keep-alive. The handler returns (status, body) or None for no answer."""

    def __init__(self, host, handler, port=0):
        self.host = host
        self.port = port
        self.handler = handler
        self.server = None
        self.writers = set()
        # Requests on these connections are neither handled nor answered.
        self.silenced = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, backlog=1024,
                                                 limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Closes the port and resets all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def stop_silently(self):
        """Closes the port and leaves all connections open without a sign, as a loss of power does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.silenced.update(self.writers)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, _, value = line.partition(":")
                        headers[name.strip().lower()] = value.strip()
                body = b""
                length = int(headers.get("content-length", "0"))
                if length:
                    body = await reader.readexactly(length)
                answer = None
                if writer not in self.silenced:
                    answer = await self.handler(method, target, headers, body)
                if answer is None or writer in self.silenced:
                    await asyncio.sleep(3600)
                status, fields = answer
                text = json.dumps(fields, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


def parse_query(target):
    from urllib.parse import parse_qsl, urlsplit
    parts = urlsplit(target)
    return parts.path, dict(parse_qsl(parts.query, keep_blank_values=True))


class Store:
    """The platform's metadata store. It loses nothing and is linearizable."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.changes = []
        self.version = 1
        self.changed = asyncio.Event()
        self.refused = {}

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def envelope(self):
        return {"rows": [], "Ver": self.version, "NowMs": self.now_ms()}

    def encode(self, name):
        row = {"Table": name[0], "part": name[1], "Key": name[2]}
        if name in self.rows:
            row["Value"], row["Ver"] = self.rows[name]
        else:
            row["Deleted"] = True
        return row

    def note_change(self, name):
        self.changes.append((self.version, name))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, fields):
        text = json.dumps(fields, separators=(",", ":")).encode()
        self.version += 1
        self.rows[(table, "", key)] = (base64.b64encode(text).decode(), self.version)
        self.note_change((table, "", key))

    def remove(self, table, key):
        if self.rows.pop((table, "", key), None) is not None:
            self.version += 1
            self.note_change((table, "", key))

    def refuse(self, status, reason):
        if self.refused.setdefault(reason, 0) < 5:
            self.record.add(f"store refuses a transaction with {status}: {reason}")
        self.refused[reason] += 1
        return status, {}

    def transact(self, body):
        if len(body) > TRANSACTION_BYTES:
            return self.refuse(400, f"more than {TRANSACTION_BYTES} bytes")
        request = json.loads(body)
        name_of = lambda entry: (entry["Table"], entry.get("part", ""), entry["Key"])
        expected = request.get("ExpectedRev", [])
        writes = request.get("Writes", [])
        removals = request.get("Remove", [])
        if len(expected) + len(writes) + len(removals) > TRANSACTION_ENTRIES:
            return self.refuse(400, "too many entries")
        for entry in writes:
            size = len(base64.b64decode(entry["Value"]))
            if size > ROW_BYTES:
                return self.refuse(400, f"a row has more than {ROW_BYTES} bytes")
        holds = all(self.rows.get(name_of(entry), ("", 0))[1] == entry["Ver"] for entry in expected)
        if not holds:
            reply = self.envelope()
            reply["rows"] = [self.encode(name_of(entry)) for entry in expected
                             if name_of(entry) in self.rows]
            return 412, reply
        self.version += 1
        for entry in writes:
            self.rows[name_of(entry)] = (entry["Value"], self.version)
            self.note_change(name_of(entry))
        for entry in removals:
            if self.rows.pop(name_of(entry), None) is not None:
                self.note_change(name_of(entry))
        return 200, self.envelope()

    def read(self, query):
        reply = self.envelope()
        table, part = query["Table"], query.get("part", "")
        names = sorted(name for name in self.rows if name[0] == table and name[1] == part)
        for name in names:
            if name[2] < query.get("From", ""):
                continue
            if "Target" in query and name[2] >= query["Target"]:
                break
            if len(reply["rows"]) == LISTED_ROWS:
                reply["HasMore"] = True
                break
            reply["rows"].append(self.encode(name))
        return 200, reply

    async def feed(self, query):
        until = time.monotonic() + min(int(query.get("WaitMs", "0")), 30000) / 1000
        after = int(query["After"])
        while True:
            reply = self.envelope()
            seen = set()
            for version, name in reversed(self.changes):
                if version <= after:
                    break
                if name[0] == query["Table"] and name not in seen:
                    seen.add(name)
                    row = self.encode(name)
                    row.setdefault("Ver", version)
                    reply["rows"].append(row)
            reply["rows"].sort(key=lambda row: row["Ver"])
            left = until - time.monotonic()
            if reply["rows"] or left <= 0:
                return 200, reply
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, target, headers, body):
        path, query = parse_query(target)
        if path == "/v1/rows-feed":
            return await self.feed(query)
        await asyncio.sleep(TRANSACTION_S)
        if path == "/v1/rows-tx":
            return self.transact(body)
        if path == "/v1/rows-get":
            return self.read(query)
        return 404, {}

    def leader(self):
        """The instance that last wrote the store's row under a condition that names a holder."""
        name = ("zinc-cell", "cell", "owner")
        if name not in self.rows:
            return None
        return json.loads(base64.b64decode(self.rows[name][0])).get("instance")


class Run:
    def __init__(self, started, ends_at, how):
        self.started = started
        self.ends_at = ends_at
        self.how = how


class Minion:
    """A minion and its lives. The `Spec` of a job tells how long its tasks run."""

    def __init__(self, deployment, number, cores, rack):
        self.deployment = deployment
        self.record = deployment.record
        self.number = number
        self.cores = cores
        self.rack = rack
        self.machine = f"m-{number:04x}"
        self.lives = 0
        self.server = None
        self.reaches_store = True
        self.is_up = False
        self.state = "ready"
        self.id = None
        self.silent_servers = []

    async def begin(self, keeps_id=False, register_after=0.0):
        self.lives += 1
        if not keeps_id or self.id is None:
            self.id = f"i-{self.number:04x}{self.lives:02x}"
        self.born = int(time.time() * 1000)
        self.clock_begin = time.monotonic()
        self.fence = 0
        self.lease = 0.0
        self.running = {}
        self.highest = {}
        self.ends = []
        self.last_end = 0
        self.sequence = 0
        self.ended = asyncio.Event()
        self.server = HttpServer(self.deployment.address(1), self.handle,
                                 self.server.port if self.server else 0)
        await self.server.start()
        self.is_up = True
        self.record.add(f"minion {self.id} of {self.machine} begins, born {self.born}")
        life = self.lives
        self.deployment.spawn(self.heartbeat(life, register_after))
        self.deployment.spawn(self.watch_runs(life))

    def crash(self, is_dark=False):
        """Ends the life at once. Nothing is said to anyone; the row stays until it expires."""
        self.record.add(f"minion {self.id} of {self.machine} crashes with "
                        f"{[task for task, _ in self.running]}")
        self.is_up = False
        self.running = {}
        if is_dark:
            self.server.stop_silently()
            self.silent_servers.append(self.server)
        else:
            self.server.stop()

    def clock(self):
        return int((time.monotonic() - self.clock_begin) * 1000)

    def row(self):
        self.sequence += 1
        return {"Service": "pool", "Address": f"{self.server.host}:{self.server.port}",
                "Zone": "north", "Version": "v1", "Slots": 8, "State": self.state, "ColdLeftMs": 0,
                "Capacity": {"Cpu": self.cores * 1000, "MemMb": 65536, "Gpus": 0},
                "Labels": ["a", self.rack], "Machine": self.machine, "Seq": self.sequence,
                "born": self.born, "ClockMs": self.clock()}

    async def heartbeat(self, life, register_after):
        await asyncio.sleep(register_after)
        while self.is_up and self.lives == life:
            if self.reaches_store:
                self.deployment.list_minion(self)
            await asyncio.sleep(HEARTBEAT_S)

    def end_run(self, name, how):
        del self.running[name]
        task, run = name
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.last_end += 1
        self.ends.append([self.last_end, task, run, how, ""])
        self.record.add(f"end   {task} run {run} at {self.id}: {how}")
        self.ended.set()
        self.ended = asyncio.Event()

    async def watch_runs(self, life):
        while self.is_up and self.lives == life:
            now = time.monotonic()
            for name, run in list(self.running.items()):
                if run.ends_at is not None and now >= run.ends_at:
                    self.end_run(name, run.how)
                elif self.clock() >= self.lease:
                    self.end_run(name, "lapsed")
            await asyncio.sleep(0.01)

    def extend(self, order):
        if "DeadlineMs" in order:
            longest = self.clock() + BOUNDS["HoldMaxMs"]
            self.lease = max(self.lease, min(longest, order["DeadlineMs"]))

    def reply(self, status=200, **fields):
        return status, {"ClockMs": self.clock(), "born": self.born, **fields}

    async def handle(self, method, target, headers, body):
        path, _ = parse_query(target)
        if path == "/health":
            return 200, {}
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body)
        fence = order.get("FencingToken", 0)
        if fence < self.fence:
            return self.reply(409, Reason="fence")
        self.fence = fence
        if path == "/v1/hold":
            return await self.hold(order)
        if path == "/v1/run-start":
            return self.start_run(order)
        if path == "/v1/run-stop":
            return self.stop_run(order)
        if path == "/v1/pace":
            return self.reply()
        return 404, {}

    async def hold(self, order):
        self.extend(order)
        seen = order.get("LastSeen", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        wait = min(order.get("WaitMs", 0), 2000) / 1000
        if wait and not self.ends:
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for (task, run), state in self.running.items():
            percent = 100
            if state.ends_at is not None:
                total = max(state.ends_at - state.started, 0.001)
                percent = int(100 * (now - state.started) / total)
            running.append([task, run, "", min(percent, 100), 100])
        return self.reply(Running=running, Ended=self.ends[:LISTED_ENDS])

    def start_run(self, order):
        self.extend(order)
        name = (order["Task"], order["Run"])
        if name in self.running:
            return self.reply()
        if order["Run"] <= self.highest.get(order["Task"], 0):
            return self.reply(409, Reason="old")
        if self.lease <= self.clock():
            return self.reply(409, Reason="late")
        spec = json.loads(order["Spec"])
        step = spec["steps"][int(order["Task"].split(".")[2])]
        now = time.monotonic()
        ends_at = now + step["ms"] / 1000 if "ms" in step and "gang" not in step else None
        self.running[name] = Run(now, ends_at, "done")
        self.record.add(f"start {name[0]} run {name[1]} at {self.id}")
        if "gang" in step:
            self.deployment.join_gang(name, step)
        self.deployment.on_start(self, order)
        return self.reply()

    def stop_run(self, order):
        name = (order["Task"], order["Run"])
        self.highest[name[0]] = max(self.highest.get(name[0], 0), name[1])
        run = self.running.get(name)
        if run is not None:
            by = time.monotonic() + BOUNDS["KillGraceMs"] / 1000
            if run.ends_at is None or run.ends_at > by:
                run.ends_at, run.how = by, "stopped"
        return self.reply()


class Instance:
    """One process of the system, and its own address of the store."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.name = f"front-north-{number}"
        self.host = deployment.address(10 + number)
        self.process = None
        self.store_server = HttpServer(deployment.address(1), deployment.store.handle)

    async def prepare(self):
        await self.store_server.start()
        self.front, self.ready, self.control = (free_port(self.host) for _ in range(3))

    def settings(self):
        return {
            "Node": self.name, "Role": "entry", "Class": "front", "Serves": ["front"],
            "Ip": self.host, "Zone": "north", "Region": "region", "Zones": {"north": "region"},
            "Listen": {"Front": f"{self.host}:{self.front}", "Ready": f"{self.host}:{self.ready}"},
            "PortRange": [self.control, self.control + 1], "Seeds": [], "Bootstrap": True,
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": MEMORY_MB, "MaxFds": 4200},
            "HeartbeatMs": int(HEARTBEAT_S * 1000), "Bounds": BOUNDS, "Orders": "rpc",
            "Contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota",
                          "platform"],
            "platform": {"Address": f"{self.store_server.host}:{self.store_server.port}",
                         "form": "table", "WritesPerS": 600, "ReadsPerS": 2000, "TxMs": 4.0,
                         "PartWritesS": 250, "RowBytes": ROW_BYTES, "Across": True,
                         "HistoryS": 20},
        }

    async def start(self):
        path = self.deployment.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        log = open(self.deployment.directory / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), *COMMAND[1:], cwd=REPOSITORY, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "ZINCSHORE_BOOT": str(path)})
        log.close()
        self.deployment.record.add(f"process {self.name} starts")

    async def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()
            self.deployment.record.add(f"process {self.name} gets signal {int(number)} and ends")

    async def is_ready(self):
        try:
            status, _ = await call(self.host, self.ready, "GET", "/v1/readiness", timeout=1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


def free_port(host):
    """A port that is free now, below the range from which the system draws ports by itself."""
    while True:
        port = random.randint(10000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
                return port
            except OSError:
                continue


async def call(host, port, method, path, headers=None, body=None, timeout=3.0):
    """One request on a channel of its own. Raises if there is no whole answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(text)}",
                     "Connection: close", *(f"{k}: {v}" for k, v in (headers or {}).items())]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + text)
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = 0
            for line in head.decode("latin-1").split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            data = await reader.readexactly(length)
            return status, (json.loads(data) if data else {})
        finally:
            writer.transport.abort()
    return await asyncio.wait_for(exchange(), timeout)


class Deployment:
    """A small deployment: one zone, instances, minions and the store."""

    HOST = "jobs.example"
    Minion = Minion
    Instance = Instance

    def __init__(self, directory, instances=3, minions=8, cores=16, rack_size=4,
                 tenants=("tenant-a",)):
        self.record = Record(pathlib.Path(directory) / "record.txt")
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="zinc-review-"))
        self.network = f"127.{random.randint(16, 240)}.{random.randint(1, 250)}"
        self.tasks = set()
        self.store = Store(self.record)
        self.tenants = tenants
        self.cores = cores
        self.rack_size = rack_size
        self.minions = []
        for _ in range(minions):
            self.add_minion()
        self.instances = [self.Instance(self, number) for number in range(instances)]
        self.start_handlers = []

    def add_minion(self):
        """@return a minion on a machine of its own, which has not begun yet"""
        number = len(self.minions)
        minion = self.Minion(self, number, self.cores, f"r1-{1 + number // self.rack_size}")
        self.minions.append(minion)
        return minion

    def address(self, host):
        return f"{self.network}.{host}"

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def on_start(self, minion, order):
        for handler in self.start_handlers:
            handler(minion, order)

    def list_minion(self, minion):
        """Writes the minion's row; the store removes it after three heartbeats of silence."""
        self.store.put("servers", minion.id, minion.row())
        key, written = minion.id, self.store.version

        def expire():
            row = self.store.rows.get(("servers", "", key))
            if row is not None and row[1] == written:
                self.record.add(f"store removes the row of minion {key}")
                self.store.remove("servers", key)
        asyncio.get_running_loop().call_later(ROW_TIMEOUT_S, expire)

    def document(self, version=1):
        return {
            "Version": version,
            "Routes": [{"Name": "work", "Host": self.HOST, "PathPrefix": "/jobs/",
                        "Kind": "non_idempotent", "TimeoutMs": 3000, "SloMs": 1000, "Priority": 1,
                        "Service": "pool", "Attempts": 3, "Stretch": 4.0, "Public": False}],
            "Services": [{"Name": "pool", "HealthPath": "/health", "MaxConns": 64,
                          "EnforcesCapacity": False, "Standby": False}],
            "Limits": {"HeaderBytes": 16384, "BodyBytes": 262144},
            "Tenants": [{"Name": name, "ApiKeys": [f"key{number}"], "Weight": 50,
                         "Maximum": {"Cpu": 10_000_000, "MemMb": 10_000_000, "Gpus": 0}}
                        for number, name in enumerate(self.tenants)],
        }

    def join_gang(self, name, step):
        """Lets a gang work from the moment when all its members are present, else ends a member
        that has waited too long for the others."""
        stem, run = name[0].rsplit(".", 1)[0], name[1]
        members = [(minion, other) for minion in self.minions if minion.is_up
                   for other in minion.running
                   if other[1] == run and other[0].rsplit(".", 1)[0] == stem]
        if len(members) == step["gang"]:
            for minion, other in members:
                minion.running[other].ends_at = time.monotonic() + step["ms"] / 1000
            return
        minion, state = next((minion, minion.running[other]) for minion, other in members
                             if other == name)

        def end_if_alone():
            if minion.running.get(name) is state and state.ends_at is None:
                minion.end_run(name, "alone")
        asyncio.get_running_loop().call_later(BOUNDS["GangTimeoutMs"] / 1000, end_if_alone)

    async def start(self):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM.relative_to(REPOSITORY)} is missing: build it first")
        self.store.put("op", "config", self.document())
        for minion in self.minions:
            await minion.begin(register_after=random.uniform(0.0, 0.2))
        for instance in self.instances:
            await instance.prepare()
        for instance in self.instances:
            await instance.start()
        until = time.monotonic() + 15
        while not all([await instance.is_ready() for instance in self.instances]):
            if time.monotonic() > until:
                raise CannotRun("the instances did not become ready")
            await asyncio.sleep(0.1)
        # The first leader has to read the minions.
        await asyncio.sleep(2.0)

    async def stop(self):
        for instance in self.instances:
            await instance.kill()
            instance.store_server.stop()
        for minion in self.minions:
            minion.is_up = False
            for server in [minion.server, *minion.silent_servers]:
                if server is not None:
                    server.stop()
        for task in list(self.tasks):
            task.cancel()
        shutil.rmtree(self.directory, ignore_errors=True)

    def leader(self):
        """The instance that last wrote to the store under a condition as the holder."""
        name = self.store.leader()
        return next(instance for instance in self.instances if instance.name == name)

    async def ask(self, method, path, tenant=0, body=None, retries=4, instances=None):
        """A client's request: after no answer, a 502 or a 504 it is sent again, to any instance.
        @return status and body of the last answer; status 0 for none"""
        headers = {"Host": self.HOST, "Authorization": f"Bearer key{tenant}",
                   "Content-Type": "application/json", "X-Deadline-Ms": "3000"}
        status, answer = 0, {}
        for _ in range(1 + retries):
            instance = random.choice(instances or self.instances)
            try:
                status, answer = await call(instance.host, instance.front, method, path, headers,
                                            body)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status, answer = 0, {}
            self.record.add(f"{method} {path} by tenant {tenant} at {instance.name}: {status} "
                            f"{answer.get('State', '')}".rstrip())
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(0.2)
        return status, answer

    async def submit(self, phases, steps, tenant=0, prefix="/jobs/", **fields):
        """Hands a job in. @return its id and the status"""
        job = f"{random.getrandbits(64):016x}"
        spec = json.dumps({"id": job, "steps": steps}, separators=(",", ":"))
        status, _ = await self.ask("POST", f"{prefix}{job}", tenant,
                                   {"Spec": spec, "Phases": phases, **fields})
        return job, status

    async def state(self, job, tenant=0):
        """@return the state as a text, or the status if there is none"""
        status, answer = await self.ask("GET", f"/jobs/{job}", tenant)
        return answer.get("State") if status == 200 else str(status)

    def runs_of(self, job):
        """@return the runs of the job's tasks that minions have now, as (task, run, minion)"""
        return [(task, run, minion) for minion in self.minions if minion.is_up
                for task, run in minion.running if task.startswith(job + ".")]

    def running_count(self):
        return sum(len(minion.running) for minion in self.minions if minion.is_up)


def run_case(directory, scenario, kind=Deployment, **options):
    """Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
    The scenario gets the deployment and whether to bring about the disruption, and returns a text
    if the rule was broken."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        deployment = kind(directory, **options)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM,
                                                      asyncio.current_task().cancel)
        try:
            await deployment.start()
            broken = await asyncio.wait_for(scenario(deployment, has_trouble), 105)
            deployment.record.add(f"verdict: {broken or 'the rule held'}")
            print(broken or "the rule held")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:  # Only a verdict may exit with 1.
            deployment.record.add(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            if "KEEP_LOGS" in os.environ:
                target = pathlib.Path(os.environ["KEEP_LOGS"])
                target.mkdir(parents=True, exist_ok=True)
                for log in deployment.directory.glob("*.log"):
                    shutil.copy(log, target)
            await deployment.stop()
            deployment.record.write()

    raise SystemExit(asyncio.run(main()))
