"""Adds routes for batch jobs while one store connection of the host that owns the model has fallen silent."""
import asyncio
import json
import pathlib
import sys
import time
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig2  # noqa: E402
from rig2 import BROKEN, HELD, CouldNotRun, StorePort, TROUBLE, call  # noqa: E402

MODEL = "m1"
ROUTE_HOST = "train.example"
ROUNDS = 4
ITEMS, EVENTS = 8, 20
KEEP_S = 40
READ_S = 15  # how long the trainer reads a job; below KEEP_S


class LinkToStore(StorePort):
    """The store as one host reaches it. A connection may fall silent for good; new ones work."""

    def __init__(self, store):
        super().__init__(store)
        self.waiting = {}  # target of the call that each connection waits for
        self.silent = set()

    async def answer(self, writer, method, target, headers, body):
        self.waiting[writer] = target
        inner = _Buffered()
        keep = await super().answer(inner, method, target, headers, body)
        self.waiting.pop(writer, None)
        if writer in self.silent:
            await asyncio.sleep(30)
            return False
        writer.write(bytes(inner.data))
        return keep

    def silence(self, table):
        """The connection that waits for changes of the table falls silent. Returns how many did and how many are open."""
        for writer, target in self.waiting.items():
            query = dict(urllib.parse.parse_qsl(target.partition("?")[2]))
            if target.startswith("/api/rows-feed") and query.get("table") == table and writer not in self.silent:
                self.silent.add(writer)
                return 1, len(self.writers)
        return 0, len(self.writers)


class _Buffered:
    def __init__(self):
        self.data = bytearray()

    def write(self, data):
        self.data += data


def route(number):
    return {"name": f"r{number}", "host": ROUTE_HOST, "prefix": f"/lots{number}/", "routeKind": "rollout", "timeoutMs": 10000,
            "targetLatencyMs": 500, "priority": 0, "maxAttempts": 3, "keepS": KEEP_S, "runAimMs": 7500, "singleVersion": False,
            "service": "engines"}


SERVICES = [{"name": "engines", "healthPath": "/health", "maxConnections": 150, "engine": {"models": [{"name": MODEL}]}}]


async def body(rig):
    for n in range(6):
        await rig.add_engine(f"e{n}", rig2.ZONES[n % 3], [MODEL])
    rig.put_config([route(0)], SERVICES)
    await rig.start_hosts(3, LinkToStore)
    end = time.monotonic() + 15
    while rig.owner_of(MODEL) is None:
        if time.monotonic() > end:
            raise CouldNotRun("no host took the model")
        await asyncio.sleep(0.2)
    await asyncio.sleep(3)
    broken = accepted = 0
    for number in range(1, ROUNDS + 1):
        owner = rig.owner_of(MODEL)
        other = next(it for it in rig.hosts if it is not owner)
        rig.record(f"round {number}: {owner.name} owns {MODEL}; the trainer's calls reach {other.name}")
        if TROUBLE:
            silent, connections = owner.store.silence("op")
            rig.record(f"round {number}: {silent} of {connections} store connections of {owner.name} falls silent")
        version = rig.put_config([route(n) for n in range(number + 1)], SERVICES)
        rig.record(f"round {number}: configuration {version} with the new route /lots{number}/ acknowledged")
        await asyncio.sleep(0.1)
        job = f"job{number}"
        items = rig2.make_items(job, ITEMS, EVENTS, MODEL, f"/lots{number}/")
        answer = await call(other.port, "POST", f"/lots{number}/{job}", [("Host", ROUTE_HOST), ("Request-Id", job)],
                            rig2.submission(items, MODEL))
        rig.record(f"round {number}: sent {job} of {ITEMS} items to {other.name}; answered {answer[0] if answer else 'nothing'}")
        if answer is None or answer[0] != 202:
            continue
        accepted += 1
        sent = time.monotonic()
        seen = {}
        while len(seen) < ITEMS and time.monotonic() < sent + READ_S:
            status, page = await rig2.read_job(other.port, job, len(seen), ROUTE_HOST)
            for result in page["results"] if page else []:
                seen[result["id"]] = result
                rig.record(f"round {number}: {job} lists {result['id']} {result['state']} {time.monotonic() - sent:.2f} s after its "
                           f"202; runs at engines: {rig.books.runs[result['id']]}")
            await asyncio.sleep(0.5 if page is None or not page["results"] else 0.02)
        early = [it for it in seen.values() if it["state"] == "abandoned"]
        if early:
            broken += 1
            rig.record(f"round {number}: BROKEN: {len(early)} of {ITEMS} items were abandoned less than {READ_S} s after the "
                       f"202 (keepS {KEEP_S}); no engine answered 422 or 500; the route is in the configuration")
        elif len(seen) < ITEMS:
            rig.record(f"round {number}: {ITEMS - len(seen)} items are not listed after {READ_S} s")
        await asyncio.sleep(2)
    rig.record(f"{accepted} batch jobs were accepted, {broken} of them were abandoned early")
    if accepted == 0:
        raise CouldNotRun("no batch job was accepted")
    return BROKEN if broken else HELD


rig2.run_case(__file__, body)
