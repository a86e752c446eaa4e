"""What the scripts of review 2 share: hosts started with the command of the deploy file, the project's stand-ins of
tests/soak, clients, and a record of what was sent, answered and run. All addresses are loopback addresses.
"""
import asyncio
import base64
import json
import logging
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY / "tests" / "soak"))
import standins  # noqa: E402
from standins import Engine, Service, Store, StorePort, UpstreamRecords  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
logging.getLogger("asyncio").setLevel(logging.ERROR)  # not each write to a connection that a host has closed
ZONES = ["za", "zb", "zc"]
HEARTBEAT_S = 1.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRun(Exception):
    pass


def free_ports(count):
    """Ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind(("127.0.0.1", 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Record:
    """record.txt of a case: one line for each thing that was sent, answered, run or done."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


class ModelEngine(Engine):
    """The project's engine, for any service, without a proxy before it."""

    def __init__(self, name, zone, store, books, models, service):
        super().__init__(name, zone, store, books, models)
        self.service = service

    def register(self):
        self.heartbeat_count += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
            "slots": standins.SLOTS, "state": "ready", "warmupLeftMs": 0, "stage": "combined", "born": self.started_ms,
            "sequence": self.heartbeat_count,
            "models": [{"name": m, "version": v, "adapters": []} for m, v in self.versions.items()]})


class PlainService(Service):
    def __init__(self, name, zone, store, books, service):
        super().__init__(name, zone, store, books)
        self.service = service

    def register(self):
        self.heartbeat_count += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1", "slots": 6,
            "state": "ready", "warmupLeftMs": 0, "born": self.started_ms, "sequence": self.heartbeat_count})


class Host:
    """One process of target/oleander_entry, as the deploy file starts it."""

    def __init__(self, rig, index, port_class):
        self.rig, self.index, self.name = rig, index, f"h{index}"
        self.port, self.ready_port, self.metrics_port, self.store_port = free_ports(4)
        self.store = port_class(rig.store)
        self.process = None

    async def start(self):
        await self.store.start(self.store_port)
        settings = pathlib.Path(self.rig.folder) / f"{self.name}.json"
        settings.write_text(json.dumps({
            "host": self.name, "zone": ZONES[self.index % len(ZONES)],
            "listen": {"callers": f"127.0.0.1:{self.port}", "readiness": f"127.0.0.1:{self.ready_port}",
                       "metrics_port": self.metrics_port},
            "store": {"address": f"127.0.0.1:{self.store_port}", "max_row_bytes": 65536, "max_object_bytes": 8388608},
            "limits": {"memory_mb": self.rig.memory_mb, "descriptors": 8200, "processor_share": 0.5},
            "shutdown_grace_s": 8, "order_hand_over_ms": 3000, "log_level": "info"}))
        self.log = open(pathlib.Path(self.rig.folder) / f"{self.name}.log", "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment.update(OLEANDERRUN_BOOT=str(settings), OLEANDER_SETTINGS='{"log_level": "info"}')
        self.process = await asyncio.create_subprocess_exec(
            str(REPOSITORY / "target" / "oleander_entry"), cwd=REPOSITORY, env=environment, stdout=self.log, stderr=self.log)

    async def ready(self):
        answer = await call(self.ready_port, "GET", "/api/readiness", timeout=0.5)
        return answer is not None and answer[0] == 200

    def log_lines(self, *words):
        lines = pathlib.Path(self.log.name).read_text(errors="replace").splitlines()
        return [it for it in lines if all(word in it for word in words)]


class Rig:
    def __init__(self, case):
        self.case = pathlib.Path(case).resolve().parent
        self.record = Record(self.case)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store, self.books = Store(), UpstreamRecords()
        self.hosts, self.upstreams, self.tasks = [], [], []
        self.version = 3
        self.memory_mb = 300  # of each machine

    async def add_engine(self, name, zone, models, service="engines"):
        engine = ModelEngine(name, zone, self.store, self.books, models, service)
        await self.bring_up(engine)
        return engine

    async def add_service(self, name, zone, service="lookups", kind=PlainService):
        upstream = kind(name, zone, self.store, self.books, service)
        await self.bring_up(upstream)
        return upstream

    async def bring_up(self, upstream):
        await upstream.start(free_ports(1)[0])
        upstream.up = True
        upstream.register()
        self.upstreams.append(upstream)

    def put_config(self, routes, services):
        """Writes a configuration as the operator does; its return is the acknowledgement."""
        self.version += 2
        self.store.put("op", "config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 25, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        return self.version

    async def start_hosts(self, count, port_class=StorePort):
        if not (REPOSITORY / "target" / "oleander_entry").exists():
            raise CouldNotRun("target/oleander_entry is not built")
        for index in range(count):
            host = Host(self, index, port_class)
            self.hosts.append(host)
            await host.start()
        self.tasks.append(asyncio.create_task(self.heartbeats()))
        end = time.monotonic() + 15
        while not all([await it.ready() for it in self.hosts]):
            if time.monotonic() > end:
                raise CouldNotRun("the hosts did not become ready")
            await asyncio.sleep(0.1)
        self.record(f"started {count} hosts, all ready")

    async def heartbeats(self):
        while True:
            for upstream in self.upstreams:
                if upstream.up:
                    upstream.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def lose(self, upstream):
        """Crashes an engine or service for good; the store removes its entry after three heartbeats."""
        upstream.up = False
        await upstream.stop()

        async def expire():
            await asyncio.sleep(3 * HEARTBEAT_S)
            self.store.drop("servers", upstream.name)
        self.tasks.append(asyncio.create_task(expire()))

    def owner_of(self, model):
        """The host that wrote the row for the model last, as the platform sees it in the store."""
        value = self.store.rows.get(("owner", "jobs", model))
        raw = base64.b64decode(value[0]) if value else b""
        return next((it for it in self.hosts if it.name.encode() + b"-" in raw), None)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                try:
                    host.process.send_signal(signal.SIGKILL)
                except ProcessLookupError:
                    pass
                await host.process.wait()
            await host.store.stop()
        for upstream in self.upstreams:
            await upstream.stop()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(port, method, target, headers=(), body=b"", timeout=4.0):
    """One request on a new connection. Returns (status, headers, body), or None without a complete answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"] + [f"{k}: {v}" for k, v in headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
            fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
            return int(head[0].split()[1]), fields, await reader.readexactly(int(fields.get("content-length", "0")))
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError, IndexError):
        return None


def make_items(job, count, events, model, prefix, group_size=4):
    return [{"id": f"{job}-{n}", "path": f"{prefix}{job}/{n}", "tokenCount": 1016 + 40 * events, "group": f"{job}-g{n // group_size}",
             "headers": {"Model": model, "Token-Count": f"1016,{40 * events}", "Length-Hint": str(40 * events), "X-Events": str(events)},
             "body": base64.b64encode(random.randbytes(64)).decode()} for n in range(count)]


def submission(items, model, min_version=1, step=1):
    return json.dumps({"step": step, "model": model, "minVersion": min_version, "desiredCount": max(1, len(items) // 4 - 1),
                       "items": items}).encode()


async def read_job(port, job, after, route_host, wait_ms=1000):
    """One read as a trainer does it. Returns (status, page or None)."""
    answer = await call(port, "GET", f"/api/lots/{job}?after={after}", [("Host", route_host), ("Wait-Ms", str(wait_ms))], timeout=2.5)
    if answer is None or answer[0] != 200:
        return (answer[0] if answer else None), None
    return 200, json.loads(answer[2])


def run_case(case, body, limit_s=110):
    """Runs `body(rig)`, which returns HELD or BROKEN, and exits with the status of the case."""
    async def main():
        rig = Rig(case)
        rig.record(f"trouble: {'yes' if TROUBLE else 'no'}")
        try:
            status = await asyncio.wait_for(body(rig), limit_s)
        except CouldNotRun as error:
            rig.record(f"could not run: {error}")
            status = COULD_NOT_RUN
        except asyncio.TimeoutError:
            rig.record("could not run: the time is over")
            status = COULD_NOT_RUN
        finally:
            await rig.stop()
        rig.record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "the case could not run"}[status])
        return status
    sys.exit(asyncio.run(main()))
