"""Stand-ins for a model engine and for a plain service, from PROTOCOL.md."""
import asyncio
import json
import time

from net import Server, response

EVENT_S = 0.012
LOAD_S = 0.9
SLOTS = 16
QUEUE = 48


def text_of(item, events, version=1):
    """The whole output of an item: the data of all its events."""
    return "\n".join(f"{item}.{number}" for number in range(1, events + 1))


class Engine(Server):
    """`events` gives the number of events by item id; `never` holds the ids of items that can never be done (422)."""

    def __init__(self, name, zone, store, record, models, events, never=()):
        super().__init__()
        self.name, self.zone, self.store, self.record = name, zone, store, record
        self.versions = {it: 1 for it in models}
        self.events, self.never = events, never
        self.accepted, self.loading, self.running, self.waiting, self.beats = 0, None, 0, 0, 0
        self.born = int(time.time() * 1000)
        self.answered = 0    # to requests of items
        self.before_answer = None  # async (connection, item): a fault of the engine, before it answers
        self.runs = {}       # number of runs by item
        self.statuses = {}   # by item: statuses that were answered

    def register(self, state="ready"):
        self.beats += 1
        self.store.put("servers", self.name, {
            "service": "models", "address": self.address, "zone": self.zone, "version": "v1", "slots": SLOTS,
            "state": state, "warmupLeftMs": 0, "stage": "combined", "born": self.born, "sequence": self.beats,
            "models": [{"name": m, "version": v, "adapters": []} for m, v in self.versions.items()]})

    def load(self):
        return ("Server-Load", f"{self.running},{self.waiting},{SLOTS},100")

    async def answer(self, connection, method, target, headers, body):
        if headers.get("expect-instance", self.name) != self.name:
            await connection.send(response(421, headers=[("Instance-Id", self.name)]))
        elif target == "/api/report":
            await connection.send(response(200, {
                "stage": "combined", "models": [{"name": m, "version": v, "adapters": []} for m, v in self.versions.items()],
                "busy": self.loading is not None, "sequence": self.accepted, "waiting": self.waiting, "running": self.running,
                "kvUsed": 0, "kvTotal": 100000, "handles": 0}))
        elif target == "/health":
            await connection.send(response(200, headers=[("Instance-Id", self.name), self.load()]))
        elif target == "/api/order":
            await connection.send(response(self.order(json.loads(body))))
        else:
            await self.run(connection, headers)
        return True

    def order(self, order):
        self.record(f"{self.name}: order {order}")
        if "holder" not in order or "fence" not in order or order["model"] not in self.versions:
            return 400
        if self.versions[order["model"]] == order["version"]:
            return 200
        if self.loading or order.get("expectedRev", self.accepted) != self.accepted:
            return 409
        self.accepted += 1
        self.loading = order["model"]
        asyncio.get_running_loop().call_later(LOAD_S, self.loaded, order)
        return 202

    def loaded(self, order):
        self.loading = None
        self.versions[order["model"]] = order["version"]
        self.register()

    async def run(self, connection, headers):
        item, model = headers["request-id"], headers["model"]
        own = [("Request-Id", item), self.load()]
        if self.loading == model or self.running >= SLOTS:
            await connection.send(response(503, headers=[("Not-Run", "1"), *own]))
            return
        self.answered += 1
        if self.before_answer:
            await self.before_answer(connection, item)
        first = int(headers.get("last-event-id", "0")) + 1
        self.runs[item] = self.runs.get(item, 0) + 1
        self.running += 1
        try:
            if item in self.never:
                await asyncio.sleep(EVENT_S)
                self.note(item, 422)
                await connection.send(response(422, b"cannot be done", [("Server-Stamp", f"st-{self.name}"), *own]))
                return
            self.note(item, 200)
            version = self.versions[model]
            await connection.send((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nServer-Stamp: st-{self.name}\r\n"
                                   f"Request-Id: {item}\r\nWeight-Versions: {version}\r\nServer-Load: {self.load()[1]}\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(first, self.events[item] + 1):
                await asyncio.sleep(EVENT_S)
                label = f"weight-versions: {self.versions[model]}\n" if self.versions[model] != version else ""
                version = self.versions[model]
                event = f"{label}id: {number}\ndata: {item}.{number}\n\n".encode()
                await connection.send(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await connection.send(b"0\r\n\r\n")
            self.record(f"{self.name}: completed item {item}, events {first} to {self.events[item]}")
        finally:
            self.running -= 1

    def note(self, item, status):
        self.statuses.setdefault(item, []).append(status)
        self.record(f"{self.name}: runs item {item}, answers {status}")


class Service(Server):
    """A plain service; echoes the body of a request after `work_s`."""

    def __init__(self, name, zone, store, record):
        super().__init__()
        self.name, self.zone, self.store, self.record = name, zone, store, record
        self.beats, self.born, self.work_s = 0, int(time.time() * 1000), 0.02
        self.runs = {}

    def register(self, state="ready"):
        self.beats += 1
        self.store.put("servers", self.name, {
            "service": "counter", "address": self.address, "zone": self.zone, "version": "v1", "slots": 6, "state": state,
            "warmupLeftMs": 0, "born": self.born, "sequence": self.beats})

    async def answer(self, connection, method, target, headers, body):
        if headers.get("expect-instance", self.name) != self.name:
            await connection.send(response(421, headers=[("Instance-Id", self.name)]))
            return True
        if target == "/health":
            await connection.send(response(200, headers=[("Instance-Id", self.name), ("Server-Load", "0,0,6,100")]))
            return True
        request = headers["request-id"]
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record(f"{self.name}: runs {request}")
        await asyncio.sleep(self.work_s)
        await connection.send(response(200, body, [("Request-Id", request), ("Server-Stamp", f"st-{request}"),
                                                   ("Server-Load", "1,0,6,100")]))
        return True
