"""Stand-ins for the platform on loopback: store, engines and services, written from the published protocol.

Each host reaches the store through a port of its own, so that faults can affect the store connection of one host only.
The stand-ins record the requests that they receive; the soak test checks its invariants against these records.
"""
import asyncio
import base64
import collections
import json
import time
import urllib.parse

HEARTBEAT_S = 0.4
EVENT_S = 0.012
LOAD_S = 0.25
SLOTS = 8
QUEUE = 16


def event_data(item, number, version):
    """Text of one event. Contains the weights version, so that a result's versions can be checked against its text."""
    return f"{item}.{number}.{version}." + "x" * 40


async def read_request(reader):
    """Returns (method, target, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return method, target, headers, body
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
        return None


def response(status, body=b"", headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status:03d} X", f"Content-Length: {len(body)}"] + [f"{k}: {v}" for k, v in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """One listening port; subclasses answer requests. stop() aborts all connections."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def start(self, port):
        self.port = port
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 22)

    async def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.server = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                if not await self.answer(writer, *request):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """Rows with versions and a change feed, shared by all ports."""

    def __init__(self):
        self.rows = {}
        self.blobs = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.log = collections.deque(maxlen=5000)
        self.commits = 0

    def apply(self, body):
        conditions = [(tuple(c[k] for k in ("table", "part", "key")), c["ver"]) for c in body.get("expectedRev", [])]
        if any(self.rows.get(key, (None, 0))[1] != ver for key, ver in conditions):
            rows = [self.row(key) for key, _ in conditions if key in self.rows]
            return 412, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
        self.version += 1
        self.commits += 1
        for put in body.get("puts", []):
            key = (put["table"], put["part"], put["key"])
            self.rows[key] = (put["value"], self.version)
            self.log.append((self.version, key, False))
        for drop in body.get("drops", []):
            key = (drop["table"], drop["part"], drop["key"])
            if self.rows.pop(key, None):
                self.log.append((self.version, key, True))
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"ver": self.version, "nowMs": self.now_ms()}

    def put(self, table, key, value):
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply({"puts": [{"table": table, "part": "", "key": key, "value": raw}]})

    def drop(self, table, key):
        self.apply({"drops": [{"table": table, "part": "", "key": key}]})

    def row(self, key):
        value, ver = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": ver}

    def now_ms(self):
        return time.monotonic() * 1000

    def get(self, query):
        low, high = query.get("from", ""), query.get("to", "")
        keys = sorted(k for k in self.rows if k[0] == query["table"] and k[1] == query.get("part", ""))
        keys = [k for k in keys if k[2] >= low and (not high or k[2] < high)]
        limit = min(500, int(query.get("limit", "500")))
        return {"rows": [self.row(k) for k in keys[:limit]], "hasMore": len(keys) > limit, "ver": self.version,
                "nowMs": self.now_ms()}

    async def feed(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changes = {}
            for ver, key, deleted in self.log:
                if ver > after and key[0] == query["table"]:
                    changes[key] = (ver, deleted)
            if changes or time.monotonic() >= end:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
        rows = [{"table": k[0], "part": k[1], "key": k[2], "ver": v, "deleted": True} if d or k not in self.rows else self.row(k)
                for k, (v, d) in changes.items()]
        return {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}


class StorePort(Server):
    """The store as one host reaches it. fault: "", refuse, silent, reset, slow, or lose (writes get no reply)."""

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.fault = ""

    async def answer(self, writer, method, target, headers, body):
        path, _, raw = target.partition("?")
        query = dict(urllib.parse.parse_qsl(raw, keep_blank_values=True, encoding="latin1"))
        fault = self.fault
        if fault == "silent":
            await asyncio.sleep(30)
            return False
        if fault == "reset":
            writer.transport.abort()
            return False
        if fault == "refuse":
            writer.write(response(503))
            return True
        await asyncio.sleep(0.15 if fault == "slow" else 0.002)
        if path == "/api/rows-tx":
            status, answer = self.store.apply(json.loads(body))
            if fault == "lose" and status == 200:
                await asyncio.sleep(30)
                return False
        elif path == "/api/rows-get":
            status, answer = 200, self.store.get(query)
        elif path == "/api/rows-parts":
            parts = sorted({k[1] for k in self.store.rows if k[0] == query["table"] and k[1] > query.get("after", "")})
            status, answer = 200, {"parts": parts[:1000], "ver": self.store.version, "nowMs": self.store.now_ms()}
        elif path == "/api/rows-feed":
            status, answer = 200, await self.store.feed(query)
        elif path.startswith("/api/blob-put/"):
            name = path.rsplit("/", 1)[1]
            status, answer = (412, b"") if name in self.store.blobs else (200, b"")
            self.store.blobs.setdefault(name, body)
        else:
            name = path.rsplit("/", 1)[1]
            status, answer = (200, self.store.blobs[name]) if name in self.store.blobs else (404, b"")
        writer.write(response(status, answer))
        return True


class Proxy:
    """A loopback link to one upstream. fault: "", delay, reset, silent, one_way (answers are dropped)."""

    def __init__(self):
        self.server = None
        self.fault = ""
        self.writers = set()

    async def start(self, port, target_port):
        self.port, self.target_port = port, target_port
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", port, limit=1 << 22)

    async def stop(self):
        if self.server is not None:
            self.server.close()
        self.set_fault("reset")

    def set_fault(self, fault):
        self.fault = fault
        if fault == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def accept(self, reader, writer):
        if self.fault == "reset":
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.target_port, limit=1 << 22)
        except OSError:
            writer.transport.abort()
            return
        self.writers.update((writer, upstream_writer))
        try:
            await asyncio.gather(self.pump(reader, upstream_writer, False), self.pump(upstream_reader, writer, True))
        except asyncio.CancelledError:
            pass  # the soak test has ended
        self.writers.difference_update((writer, upstream_writer))

    async def pump(self, reader, writer, is_answer):
        """Copies bytes. Bytes that arrive during a silent fault are dropped without an error on the connection."""
        try:
            while data := await reader.read(1 << 16):
                if self.fault == "silent" or (self.fault == "one_way" and is_answer):
                    await asyncio.sleep(30)
                    break
                if self.fault == "delay":
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.transport.abort() if self.fault else writer.close()


def signature_of(request):
    """The signature of a service's answer. The score of an item is the signature of the answer to its scoring call."""
    return f"st-{request}"


async def send_endless_answer(writer, head):
    """Sends an answer that does not end, up to 64 MB or until the caller closes the connection."""
    writer.write(head)
    for _ in range(1 << 12):
        writer.write(b"x" * (1 << 14))
        await writer.drain()
    writer.transport.abort()


class UpstreamRecords:
    """Requests that the upstreams received."""

    def __init__(self):
        self.runs = collections.Counter()          # item runs, by request id
        self.arrivals = []                         # (time, item, engine)
        self.orders = []                           # (time, engine, holder, fence)
        self.service_runs = collections.Counter()  # by request id
        self.load_questions = 0
        self.named = []                            # (request id, workspace named to the upstream, whether a key was passed on)
        self.complete_at = {}                      # by item: time at which its last event was first generated
        self.scored_at = {}                        # by scoring request id: time of its first arrival


class Upstream(Server):
    """An engine or service. While it leaves, all its answers say so, but not its registration. While it is reclaimed, its
    registration and its report say so."""

    def __init__(self):
        super().__init__()
        self.leaving = False
        self.told = {}  # by request: time of an answer that states that it leaves
        self.gone_at = None  # while it is reclaimed

    def state(self):
        return {"state": "draining", "spot": True} if self.gone_at else {"state": "ready"}

    def leaving_headers(self, request):
        if not self.leaving:
            return []
        self.told.setdefault(request, time.time())
        return [("Server-Leaving", "1")]

    def respond(self, writer, status, body=b"", headers=()):
        writer.write(response(status, body, [*headers, *self.leaving_headers(dict(headers).get("Request-Id"))]))


class Engine(Upstream):
    def __init__(self, name, zone, store, books, models, service="engines"):
        super().__init__()
        self.service = service
        self.name, self.zone, self.store, self.books = name, zone, store, books
        self.versions = {m: 1 for m in models}
        self.accepted = 0
        self.loading = None
        self.running = 0
        self.proxy = Proxy()  # between hosts and this engine
        self.fault = ""   # "", silent, break, fail, endless, status (000)
        self.heartbeat_count = 0
        self.started_ms = int(time.time() * 1000)
        self.up = False

    def register(self):
        self.heartbeat_count += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": f"127.0.0.1:{self.proxy.port}", "zone": self.zone, "version": "v1", "slots": SLOTS,
            **self.state(), "warmupLeftMs": 0, "stage": "combined", "born": self.started_ms, "sequence": self.heartbeat_count,
            "models": [{"name": m, "version": v, "adapters": []} for m, v in self.versions.items()]})

    async def answer(self, writer, method, target, headers, body):
        if headers.get("expect-instance", self.name) != self.name:
            self.respond(writer, 421, headers=[("Instance-Id", self.name)])
            return True
        if self.fault == "silent":
            await asyncio.sleep(30)
            return False
        if target == "/api/report":
            leaves = {"leaves_ms": (self.gone_at - time.monotonic()) * 1000} if self.gone_at else {}
            self.respond(writer, 200, {"models": [{"name": m, "version": v} for m, v in self.versions.items()], **leaves,
                                        "busy": self.loading is not None, "sequence": self.accepted, "running": self.running})
            return True
        if target == "/health":
            self.books.load_questions += 1
            self.respond(writer, 200, headers=[("Instance-Id", self.name), ("Server-Load", f"{self.running},0,{SLOTS},100")])
            return True
        if target == "/api/order":
            return self.order(writer, json.loads(body))
        return await self.generate(writer, headers)

    def order(self, writer, order):
        self.books.orders.append((time.monotonic(), self.name, order["holder"], order["fence"]))
        if self.versions[order["model"]] == order["version"]:
            self.respond(writer, 200)
        elif self.loading or order.get("expectedRev", self.accepted) != self.accepted:
            self.respond(writer, 409)
        else:
            self.accepted += 1
            self.loading = order["model"]
            asyncio.get_running_loop().call_later(LOAD_S, self.loaded, order)
            self.respond(writer, 202)
        return True

    def loaded(self, order):
        self.loading = None
        self.versions[order["model"]] = order["version"]
        if self.up:
            self.register()

    async def generate(self, writer, headers):
        item, model = headers["request-id"], headers["model"]
        load = ("Server-Load", f"{self.running},0,{SLOTS},100")
        if self.loading == model or self.running >= SLOTS + QUEUE:
            self.respond(writer, 503, headers=[("Not-Run", "1"), ("Request-Id", item), load])
            return True
        self.books.runs[item] += 1
        self.books.named.append((item, headers.get("tenant"), "key" in headers))
        self.books.arrivals.append((time.monotonic(), item, self.name))
        if self.fault in ("fail", "status"):
            self.respond(writer, 500 if self.fault == "fail" else 0, headers=[("Request-Id", item), ("Server-Stamp", "s")])
            return self.fault == "fail"
        if self.fault == "endless":
            await send_endless_answer(writer, b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: ")
            return False
        version = self.versions[model]
        leaving = "".join(f"{k}: {v}\r\n" for k, v in self.leaving_headers(item))
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {item}\r\nServer-Stamp: s\r\n"
                      f"Weight-Versions: {version}\r\nServer-Load: {load[1]}\r\n{leaving}Transfer-Encoding: chunked\r\n\r\n").encode())
        self.running += 1
        try:
            first = int(headers.get("last-event-id", "0")) + 1
            for number in range(first, int(headers["x-events"]) + 1):
                await asyncio.sleep(EVENT_S)
                if self.fault == "silent":
                    await asyncio.sleep(30)
                    return False
                label = f"weight-versions: {self.versions[model]}\n" if self.versions[model] != version else ""
                version = self.versions[model]
                if number == int(headers["x-events"]):
                    self.books.complete_at.setdefault(item, time.monotonic())
                event = f"{label}id: {number}\ndata: {event_data(item, number, version)}\n\n".encode()
                if self.fault == "break" and number % 7 == 0:
                    writer.write(f"{len(event):x}\r\n".encode() + event[: len(event) // 2])
                    await writer.drain()
                    writer.transport.abort()
                    return False
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            return True
        finally:
            self.running -= 1


class Service(Upstream):
    """Answers lookups, scoring calls and calls that may run once. fault: "", lose (runs the request without an answer),
    shed, fail, slow, endless, status (000, with everything else that an answer has)."""

    def __init__(self, name, zone, store, books):
        super().__init__()
        self.name, self.zone, self.store, self.books = name, zone, store, books
        self.proxy = Proxy()
        self.fault = ""
        self.heartbeat_count = 0
        self.up = False
        self.started_ms = int(time.time() * 1000)

    def register(self):
        self.heartbeat_count += 1
        self.store.put("servers", self.name, {
            "service": "lookups", "address": f"127.0.0.1:{self.proxy.port}", "zone": self.zone, "version": "v1", "slots": 6,
            "state": "ready", "warmupLeftMs": 0, "born": self.started_ms, "sequence": self.heartbeat_count})

    async def answer(self, writer, method, target, headers, body):
        request = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            self.respond(writer, 421)
            return True
        if self.fault == "shed":
            self.respond(writer, 503, headers=[("Not-Run", "1"), ("Request-Id", request)])
            return True
        self.books.service_runs[request] += 1
        self.books.named.append((request, headers.get("tenant"), "key" in headers))
        if target.startswith("/score/"):
            self.books.scored_at.setdefault(request, time.monotonic())
            self.books.arrivals.append((time.monotonic(), request, self.name))
        if self.fault == "endless":
            await send_endless_answer(writer, b"HTTP/1.1 200 OK\r\nX-Header: ")
            return False
        await asyncio.sleep(0.3 if self.fault == "slow" else 0.005)
        if self.fault == "fail" or target.endswith("/always-fails"):
            self.respond(writer, 500, headers=[("Request-Id", request), ("Server-Stamp", "failed")])
            return True
        if self.fault == "status":
            answer = response(0, body, [("Request-Id", request), ("Server-Stamp", signature_of(request))])
            writer.write(answer.replace(b"Content-Length", b"X-Length"))  # it ends with the connection
            return False
        if self.fault == "lose":
            writer.transport.abort()
            return False
        self.respond(writer, 200, body + b"|" + request.encode(), [("Request-Id", request), ("Server-Stamp", signature_of(request))])
        return True


class DutyPlatform(Server):
    """Takes the calls that one host makes for all. fault: "", silent (carries the call out without an answer), refuse, slow."""

    def __init__(self):
        super().__init__()
        self.fault = ""
        self.calls = []  # (time, subject, holder, fence, window, counts)

    async def answer(self, writer, method, target, headers, body):
        call = json.loads(body)
        subject = "usage" if target == "/usage" else f"{call['service']}/{call['zone']}"
        if self.fault == "refuse":
            writer.write(response(503))
            return True
        self.calls.append((time.monotonic(), subject, headers["duty-holder"], int(headers["fence-token"]), call.get("windowId"),
                           call.get("counts")))
        if self.fault == "silent":
            await asyncio.sleep(30)
            return False
        await asyncio.sleep(1.0 if self.fault == "slow" else 0.005)
        writer.write(response(200))
        return True
