"""A small deployment on loopback: hosts of target/oleander_entry before stand-ins of the platform, and a batch client."""
import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import sys
import tempfile
import time
import tomllib

from engine import Engine, Service
from net import Record, call, free_port
from store import Store, StorePort

ROOT = pathlib.Path(__file__).resolve().parents[1]
HEARTBEAT_S = 1.2
MEMORY_MB = 150
NETWORK = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250 + 1}"  # loopback addresses of this run
ZONES = ["attiki-a", "attiki-b", "attiki-c"]
MODELS = ["m0", "m1"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TEMPLATE_VALUES = {"limits.memoryMb": MEMORY_MB, "limits.maxFds": 8200, "limits.cpuShare": 0.5, "bounds.graceS": 8,
                   "bounds.leaseMs": 3000, "platformInfo.rowBytes": 65536, "platformInfo.blobBytes": 8388608}


def policy(version, extra_routes=(), keep_s=40):
    """op/config, with the figures of the site file fellos-run."""
    rollout = {"routeKind": "rollout", "timeoutMs": 10000, "targetLatencyMs": 400, "priority": 0, "service": "models",
               "maxAttempts": 3, "keepS": keep_s, "runAimMs": 7500, "singleVersion": False, "sessionAffinity": True,
               "canResume": True}
    routes = [{"name": "train", "host": "train.example", "prefix": "/train/", **rollout},
              {"name": "receipt", "host": "app.example", "prefix": "/receipt/", "routeKind": "idempotent", "timeoutMs": 2000,
               "targetLatencyMs": 150, "priority": 2, "service": "counter", "maxAttempts": 2}]
    routes += [{**it, **rollout} for it in extra_routes]
    services = [{"name": "models", "healthPath": "/health", "maxConnections": 180, "protocol": "h1", "tls": False,
                 "engine": {"slots": 16, "kvTokens": 103562, "models": [{"name": it} for it in MODELS]}},
                {"name": "counter", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Host:
    """One machine: its own loopback address, its own link to the store, and the process of the deploy file."""

    def __init__(self, deployment, number):
        self.deployment, self.number, self.zone = deployment, number, ZONES[number % len(ZONES)]
        self.name, self.ip = f"front-{number}", f"{NETWORK}.{10 + number}"
        self.front, self.ready_at = f"{self.ip}:{free_port(self.ip)}", f"{self.ip}:{free_port(self.ip)}"
        self.store = StorePort(deployment.store)
        self.process = None
        self.starts = 0

    async def start(self):
        if self.store.server is None:
            await self.store.start(self.ip)
        values = {**TEMPLATE_VALUES, "nodeName": self.name, "zone": self.zone, "listenAddrs.front": self.front,
                  "listenAddrs.ready": self.ready_at, "platformInfo.address": self.store.address}
        template = (ROOT / self.deployment.role["template"]).read_text()
        settings = self.deployment.folder / f"{self.name}.json"
        settings.write_text(re.sub(r"\{\{([\w.]+)\|json\}\}", lambda it: json.dumps(values[it[1]]), template))
        environment = {"PATH": os.environ["PATH"], "OLEANDERRUN_BOOT": str(settings)}
        with open(self.deployment.folder / f"{self.name}.log", "a") as log:
            self.process = await asyncio.create_subprocess_exec(*self.deployment.role["run"].split(), cwd=ROOT, env=environment,
                                                                stdout=log, stderr=log)
        self.starts += 1
        self.deployment.record(f"{self.name}: process started")

    def send(self, number):
        self.deployment.record(f"{self.name}: {signal.Signals(number).name}")
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self):
        answer = await call(self.ready_at, "GET", "/api/readiness", timeout=0.5)
        return answer is not None and answer[0] == 200

    def memory_mb(self):
        """Resident memory in MB; 0 if the process has ended."""
        try:
            return int(re.search(r"VmRSS:\s+(\d+)", pathlib.Path(f"/proc/{self.process.pid}/status").read_text())[1]) / 1024
        except (OSError, TypeError):
            return 0

    def last_words(self):
        """The last line of the log that isn't a log event, such as an exception that nobody caught."""
        lines = (self.deployment.folder / f"{self.name}.log").read_text(errors="replace").splitlines()
        words = next((it.strip() for it in reversed(lines) if it and not it.startswith("{")), "")
        return "".join(it for it in words if it.isprintable())[:200]


class Deployment:
    def __init__(self, record, hosts=3, engines=3, services=1):
        self.record, self.store = record, Store()
        self.events, self.never = {}, set()
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="oleander-review-"))
        self.hosts = [Host(self, it) for it in range(hosts)]
        self.engines = [Engine(f"i-engine{it}", ZONES[it % 3], self.store, record, MODELS, self.events, self.never)
                        for it in range(engines)]
        self.services = [Service(f"i-service{it}", ZONES[it % 3], self.store, record) for it in range(services)]
        self.tasks = []

    async def start(self):
        for it in self.engines + self.services:
            await it.start(f"{NETWORK}.1")
            it.register()
        self.store.put("op", "config", policy(1))
        for it in self.hosts:
            await it.start()
        self.tasks.append(asyncio.create_task(self.beat()))
        end = time.monotonic() + 20
        while not all([await it.ready() for it in self.hosts]):
            if time.monotonic() > end:
                ended = {it.name: it.process.returncode for it in self.hosts}
                raise RuntimeError(f"the hosts aren't ready; their exit statuses: {ended}")
            await asyncio.sleep(0.1)

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for it in self.engines + self.services:
                it.register()

    async def stop(self):
        for it in self.tasks:
            it.cancel()
        for it in self.hosts:
            if it.process is not None and it.process.returncode is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                await it.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def owner_of(self, model, seconds=15):
        """The host that has written itself into the store as the owner of the model."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for key, (value, _) in self.store.rows.items():
                if key[0] == "owner" and key[2] == model:
                    for it in self.hosts:
                        if (it.name + "-").encode() in base64.b64decode(value):
                            return it
            await asyncio.sleep(0.05)
        raise RuntimeError(f"no owner of {model}")


def make_items(job, events, model="m0", group_size=4, path="/train/x", body=b"prompt"):
    """Items with the given numbers of events."""
    return [{"id": f"{job}i{n:04d}", "path": f"{path}{n}", "body": base64.b64encode(body).decode(), "tokenCount": 100 + it,
             "headers": {"Model": model, "Token-Count": f"100,{it}", "Prompt-Prefix": f"{n // group_size:x}1:80,{n:x}2:20"},
             "group": f"{job}g{n // group_size}"} for n, it in enumerate(events)]


def encode_job(items, step=0, model="m0", least=1):
    groups = len({it["group"] for it in items})
    return json.dumps({"step": step, "model": model, "minVersion": least, "desiredCount": max(1, int(0.9 * groups)),
                       "items": items}).encode()


class BatchClient:
    """Follows PROTOCOL.md: resends a batch job until it is accepted, each time at another host, and reads its results."""

    def __init__(self, record, hosts, host_header="train.example"):
        self.record, self.hosts, self.host_header = record, hosts, host_header
        self.statuses = []

    async def submit(self, job, body, path="/train/x", seconds=10, timeout=3):
        end, turn = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            host = self.hosts[turn % len(self.hosts)]
            turn += 1
            answer = await call(host.front, "POST", path, [("Host", self.host_header), ("Request-Id", job)], body, timeout)
            self.statuses.append(answer and answer[0])
            self.record(f"client: batch job {job} ({len(body)} bytes) to {host.name}: {answer and answer[0]}")
            if answer and answer[0] == 202:
                return True
            await asyncio.sleep(0.3)
        return False

    async def read_all(self, job, total, seconds):
        """Reads until all results are there. Returns the results by item."""
        results, at, turn, end = {}, 0, 0, time.monotonic() + seconds
        while len(results) < total and time.monotonic() < end:
            host = self.hosts[turn % len(self.hosts)]
            turn += 1
            answer = await call(host.front, "GET", f"/api/lots/{job}?after={at}", [("Host", self.host_header), ("Wait-Ms", "1000")],
                                timeout=2.5)
            if answer is None or answer[0] != 200:
                self.record(f"client: read of {job} after {at} at {host.name}: {answer and answer[0]}")
                await asyncio.sleep(0.3)
                continue
            page = json.loads(answer[2])
            at = page["next"]
            for it in page["results"]:
                results[it["id"]] = it
                self.record(f"client: {job} lists {it['id']} as {it['state']}")
            await asyncio.sleep(0.2)
        return results


def main(folder, case):
    """Runs `case(record)`, which returns True if the rule held, and exits with 0, 1 or 2 (the case could not run)."""
    record = Record(pathlib.Path(folder) / "record.txt")
    record(f"trouble: {TROUBLE}")

    async def run():
        task = asyncio.create_task(asyncio.wait_for(case(record), 110))
        for it in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(it, task.cancel)
        return await task

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as ex:  # any failure of the case itself
        record(f"the case couldn't run: {type(ex).__name__}: {ex}")
        sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
