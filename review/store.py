"""Stand-in for the platform's metadata store, from PROTOCOL.md. Each host reaches it through an address of its own, so
that the link of one host can be disturbed."""
import asyncio
import base64
import json
import time
import urllib.parse

from net import Server, response

HISTORY_S = 20
ANSWER_S = 0.004
MAX_BYTES = 1_000_000


class Store:
    def __init__(self):
        self.rows = {}   # (table, part, key): (value in base64, version)
        self.blobs = {}
        self.version = 0
        self.history = []  # (version, time, row key)
        self.changed = asyncio.Event()
        self.feeds = {}    # by port name and table: the connection of the latest feed call

    def transact(self, body):
        puts, drops, expected = body.get("puts", []), body.get("drops", []), body.get("expectedRev", [])
        key_of = lambda it: (it["table"], it["part"], it["key"])
        if len(puts) + len(drops) + len(expected) > 100 or len({it["part"] for it in puts + drops + expected}) > 1:
            return 400, {}
        if any(len(base64.b64decode(it["value"])) > 65536 for it in puts):
            return 400, {}
        if any(self.rows.get(key_of(it), ("", 0))[1] != it["ver"] for it in expected):
            rows = [self.row(key_of(it)) for it in expected if key_of(it) in self.rows]
            return 412, {"rows": rows, **self.stamp()}
        self.version += 1
        for it in puts:
            self.rows[key_of(it)] = (it["value"], self.version)
        for it in drops:
            self.rows.pop(key_of(it), None)
        now = time.monotonic()
        self.history += [(self.version, now, key_of(it)) for it in puts + drops]
        self.history = [it for it in self.history if it[1] > now - HISTORY_S]
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, self.stamp()

    def put(self, table, key, value):
        """A write of the operator, a trainer or an engine."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.transact({"puts": [{"table": table, "part": "", "key": key, "value": base64.b64encode(raw).decode()}]})

    def drop(self, table, key):
        self.transact({"drops": [{"table": table, "part": "", "key": key}]})

    def row(self, key):
        value, version = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}

    def stamp(self):
        return {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    def get(self, query):
        low, high = query.get("from", ""), query.get("to", "")
        keys = sorted(k for k in self.rows if k[:2] == (query["table"], query.get("part", "")) and k[2] >= low and
                      (not high or k[2] < high))
        rows, size, limit = [], 0, min(500, int(query.get("limit", "500")))
        for key in keys[:limit]:
            row = self.row(key)
            size += len(row["value"]) + 100
            if rows and size > MAX_BYTES:
                break
            rows.append(row)
        return {"rows": rows, "hasMore": len(rows) < len(keys), **self.stamp()}

    async def feed(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        if after and self.history and after < self.history[0][0] - 1 and time.monotonic() - self.history[0][1] > HISTORY_S:
            return 410, {}
        while True:
            changes = {key: version for version, _, key in self.history if version > after and key[0] == query["table"]}
            if changes or time.monotonic() >= end:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
            except TimeoutError:
                pass
        rows = [self.row(k) if k in self.rows else {"table": k[0], "part": k[1], "key": k[2], "ver": v, "deleted": True}
                for k, v in sorted(changes.items(), key=lambda it: it[1])]
        return 200, {"rows": rows, **self.stamp()}


class StorePort(Server):
    """The store as one host reaches it."""

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.on_feed = None  # called as on_feed(connection, table) at the start of each feed call
        self.fault = ""      # "" or "busy": all calls get 503

    async def answer(self, connection, method, target, headers, body):
        path, _, raw = target.partition("?")
        query = dict(urllib.parse.parse_qsl(raw, keep_blank_values=True))
        if self.fault == "busy":
            await connection.send(response(503))
            return True
        if path == "/api/rows-feed":
            if self.on_feed:
                self.on_feed(connection, query["table"])
            status, answer = await self.store.feed(query)
        else:
            await asyncio.sleep(ANSWER_S)
            status, answer = self.act(method, path, query, body)
        await connection.send(response(status, answer))
        return True

    def act(self, method, path, query, body):
        store, name = self.store, urllib.parse.unquote(path.rsplit("/", 1)[1])
        if path == "/api/rows-tx":
            return (413, {}) if len(body) > 1 << 20 else store.transact(json.loads(body))
        if path == "/api/rows-get":
            return 200, store.get(query)
        if path == "/api/rows-parts":
            parts = sorted({k[1] for k in store.rows if k[0] == query["table"] and k[1] > query.get("after", "")})
            return 200, {"parts": parts[:1000], **store.stamp()}
        if path.startswith("/api/blob-put/"):
            if name in store.blobs:
                return 412, b""
            store.blobs[name] = body
            return 200, b""
        if path.startswith("/api/blob-drop/"):
            store.blobs.pop(name, None)
            return 200, b""
        if path.startswith("/api/blob-get/"):
            return (200, store.blobs[name]) if name in store.blobs else (404, b"")
        return 404, b""
