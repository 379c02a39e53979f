"""A small deployment on loopback addresses: the project's program as separate processes, and
stand-ins of the platform, the minions and the clients."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

import http_io
from minion import Minion
from platform_store import Store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join("target", "bin", "zinc-entry")
METRICS_PORT = 9464
HOST = "jobs.example"
SERVICE = "svc"
KEY = "key-of-tenant-one"

BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchupS": 4,
    "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200, "ConfigMs": 2000, "RollbackSlackMs": 250,
    "MaxStretchMs": 5000, "EnforceRevoke": False, "RevokeMs": 5000, "QuotaWindowS": 5,
    "QuotaExcess": 0.1, "QuotaSlack": 20, "RecoveryS": 12, "HoldMaxMs": 6000, "KillGraceMs": 200,
    "GangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "RemoteFactor": 2, "CheckpointS": 1, "RestoreMs": 250, "NoticeMs": 4500,
    "MoveS": 1.5, "UpkeepS": 2, "RequireFencing": False, "LeaseMs": 3000, "ThawSlackMs": 300,
    "PaceMs": 100, "HarmMs": 4000,
}  # fmt: skip


class CannotRun(Exception):
    """The case could not be set up."""


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
            return True
        except OSError:
            return False


class Cell:
    def __init__(self, folder, instances=3, minions=8, capacity=None, bounds=None, advice=None):
        """@param bounds differences from the bounds of wrekin-roster
        @param advice `Advice` of the queues; without it there is no policy service"""
        self.folder = folder
        self.record_file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin_time = time.monotonic()
        self.events = []
        self.counts_runs = False
        self.run_counts = {}
        self.temporary = tempfile.mkdtemp(prefix="zincshore-review-")
        self.network = f"127.{random.randint(64, 191)}.{random.randint(1, 250)}"
        self.instance_count, self.minion_count = instances, minions
        self.capacity = capacity or {"Cpu": 32000, "MemMb": 65536, "Gpus": 0}
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.advice = advice
        self.advice_address = ""
        self.processes = {}
        self.logs = []
        self.config = {
            "Version": 7,
            "Routes": [self.route("q0", "/q0/", 2), self.route("q1", "/q1/", 0)],
            "Services": [
                {
                    "Name": SERVICE, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1",
                    "Tls": False, "EnforcesCapacity": False, "Standby": False,
                }
            ],
            "Limits": {
                "HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Tenants": [
                {
                    "Name": "t1", "ApiKeys": [KEY], "Priority": 1, "Weight": 100,
                    "Maximum": {"Cpu": 0, "MemMb": 0, "Gpus": 0},
                }
            ],
        }  # fmt: skip

    def route(self, name, prefix, priority):
        advice = {"Advice": self.advice} if self.advice else {}
        return {
            **advice,
            "Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": "non_idempotent",
            "TimeoutMs": 3000, "SloMs": 3000, "Priority": priority, "Service": SERVICE,
            "Attempts": 3, "Stretch": 4.0, "Public": False,
        }  # fmt: skip

    def now(self):
        return time.monotonic() - self.begin_time

    def record(self, kind, **fields):
        """Notes what happened; of runs only how many, if the case has set `counts_runs`."""
        at = round(self.now(), 3)
        if self.counts_runs and kind in ("started", "ended"):
            self.run_counts[kind] = self.run_counts.get(kind, 0) + 1
            return
        self.events.append((at, kind, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record_file.write(f"{at:9.3f} {kind} {text}\n")

    async def start(self):
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun(f"{PROGRAM} is not built")
        platform = f"{self.network}.1"
        self.store = Store()
        self.store_port = free_port(platform)
        self.store_server = await http_io.serve(platform, self.store_port, self.store.handle)
        self.store.put("op", "config", self.config)
        self.minions = []
        options = {"zone": "zone-a", "capacity": self.capacity, "hold_max_ms": self.bounds["HoldMaxMs"]}
        for number in range(self.minion_count):
            host = f"{self.network}.{100 + number}"
            minion = Minion(
                self.store, f"m-{number}", host, free_port(host), SERVICE, self.record, options
            )
            await minion.begin()
            self.minions.append(minion)
        if self.advice:
            self.policy_service = await self.start_policy_service(f"{self.network}.2")
        hosts = [f"{self.network}.{10 + number}" for number in range(self.instance_count)]
        self.ports = [free_port(hosts[0]) for _ in range(4)]
        if not all(is_free(host, port) for host in hosts for port in self.ports + [METRICS_PORT]):
            raise CannotRun("a port is not free")
        self.hosts = hosts
        for number in range(self.instance_count):
            self.start_process(number)
        await self.wait_until_ready()

    async def start_policy_service(self, host):
        """Starts a service that allows every minion, and names it in the settings."""
        calling = {}

        async def advise(method, path, query, headers, body):
            workers = json.loads(body)["Workers"]
            caller = headers.get("user-agent", "")
            # It handles one call at a time for each calling machine.
            async with calling.setdefault(caller, asyncio.Lock()):
                await asyncio.sleep(
                    (self.advice["DecideMs"] + self.advice["EachMs"] * len(workers)) / 1000
                )
            good = [[worker, f"ticket-{worker}"] for worker in workers]
            return 200, {"Good": good, "ValidMs": self.advice["ValidMs"]}

        port = free_port(host)
        self.advice_address = f"{host}:{port}"
        return await http_io.serve(host, port, advise)

    def settings(self, number):
        host = self.hosts[number]
        front, ready, control, peers = self.ports
        return {
            "Node": f"front-zone-a-{number}", "Role": "entry", "Class": "front",
            "Serves": ["front"], "Ip": host, "Zone": "zone-a", "Region": "region-a",
            "Zones": {"zone-a": "region-a"},
            "Listen": {
                "Front": f"{host}:{front}", "Ready": f"{host}:{ready}",
                "Control": f"{host}:{control}",
            },
            "PortRange": [peers, peers], "Seeds": [], "Bootstrap": True, "CountsAsLoss": False,
            "Limits": {
                "CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4200,
                "LinkMbps": 1000.0, "DiskMb": 0,
            },
            "DataDir": None, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1500,
            "Contracts": [
                "base", "drain", "config", "cost", "recover", "sched", "tenants", "quota",
                "platform", "advice", "upkeep", "sharing",
            ],
            "Tolerate": {"Machines": 2, "Zones": 1, "Regions": 0}, "Bounds": self.bounds,
            "Orders": "rpc", "Advice": self.advice_address,
            "platform": {
                "Address": f"{self.network}.1:{self.store_port}", "form": "table",
                "WritesPerS": 600, "ReadsPerS": 2000, "TxMs": 4.0, "PartWritesS": 250,
                "RowBytes": 65536, "Across": True, "HistoryS": 20, "BlobBytes": 8388608,
                "BlobMs": 25.0, "BlobMbS": 80.0,
            },
        }  # fmt: skip

    def write_settings(self, number):
        path = os.path.join(self.temporary, f"settings-{number}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(number), file)
        return path

    def start_process(self, number):
        path = self.write_settings(number)
        log = open(os.path.join(self.temporary, f"instance-{number}.log"), "ab")
        self.logs.append(log)
        self.processes[number] = subprocess.Popen(
            [
                PROGRAM, "--platform", "ZINCSHORE_BOOT", "--metrics-port", str(METRICS_PORT),
                "--traffic-threads-on-platform", "0",
            ],
            cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "ZINCSHORE_BOOT": path},
            stdout=log,
            stderr=log,
        )  # fmt: skip
        self.record("process", instance=number, state="started")

    def kill_process(self, number, how=signal.SIGKILL):
        self.record("process", instance=number, state=signal.Signals(how).name)
        self.processes[number].send_signal(how)

    async def wait_until_ready(self):
        for _ in range(200):
            answers = [
                await http_io.call(host, self.ports[1], "GET", "/v1/readiness")
                for host in self.hosts
            ]
            if all(status == 200 for status, _ in answers) and self.leader() is not None:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the instances did not become ready")

    def leader(self):
        """@return the number of the instance that wrote the leader record last, as the store's
        rows show; for aiming kills only."""
        import base64

        for (table, _, key), (value, _) in self.store.rows.items():
            if table == "zinc-cell" and key == "owner":
                name = json.loads(base64.b64decode(value))["instance"]
                return int(name.rsplit("-", 1)[1])
        return None

    async def call(self, method, path, body=None, instance=None, timeout=3.0, log=True):
        number = random.randrange(self.instance_count) if instance is None else instance
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        status, answer = await http_io.call(
            self.hosts[number], self.ports[0], method, path, headers, body, timeout
        )
        if log:
            self.record("call", method=method, path=path, instance=number, status=status,
                        answer=json.dumps(answer))  # fmt: skip
        return status, answer

    async def submit(self, queue, job, steps, retries=4, **fields):
        """Submits a job as a client does: again with the same id after no response, 429, 5xx.
        @return the last status"""
        spec = json.dumps({"steps": [step["run"] for step in steps]})
        phases = [{k: v for k, v in step.items() if k != "run"} for step in steps]
        body = {"Spec": spec, "Phases": phases, **fields}
        status = 0
        for attempt in range(retries + 1):
            status, _ = await self.call("POST", f"/{queue}/{job}", body)
            if 200 <= status < 300:
                break
            await asyncio.sleep(0.5)
        return status

    async def state(self, queue, job, log=False):
        status, answer = await self.call("GET", f"/{queue}/{job}", log=log)
        return answer.get("State", "?") if status == 200 else str(status)

    async def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        for log in self.logs:
            log.close()
        for minion in getattr(self, "minions", []):
            if minion.is_up:
                await minion.end()
        self.record_file.close()
        if os.environ.get("KEEP"):
            print("logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def new_job_id():
    return f"{random.getrandbits(64):016x}"


RULE_HELD, RULE_BROKEN, NOT_RUN = 0, 10, 2


def run(case, folder, **options):
    """Runs a case.
    @return RULE_HELD, RULE_BROKEN or NOT_RUN; run.sh makes its exit code of it, so that an error
    of the script itself, with which Python ends with 1, is none of these"""

    async def main():
        cell = Cell(folder, **options)
        try:
            await cell.start()
            verdict = await case(cell, os.environ.get("TROUBLE", "1") != "0")
            cell.record("verdict", text=verdict or "the rule held")
            print(verdict or "the rule held")
            return RULE_BROKEN if verdict else RULE_HELD
        except CannotRun as error:
            cell.record("verdict", text=f"could not run: {error}")
            print(f"could not run: {error}")
            return NOT_RUN
        finally:
            await cell.stop()

    def interrupt(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupt)
    return asyncio.run(main())
