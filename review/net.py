"""Small HTTP/1.1 helpers for the stand-ins and scripts of the review: a server, a client, and free loopback ports."""
import asyncio
import json
import random
import socket
import time

given_ports = set()


async def read_message(reader):
    """Returns (first line, headers, body) of a request or response with a length or in chunks; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError):
        return None


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin1") + body


def response(status, body=b"", headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        headers = [("Content-Type", "application/json"), *headers]
    return message(f"HTTP/1.1 {status} Status", headers, body)


async def call(address, method, target, headers=(), body=b"", timeout=5.0):
    """One request on a new connection. Returns (status, headers, body), or None if no complete answer came."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 26)
            writer.write(message(f"{method} {target} HTTP/1.1", headers, body))
            answer = await read_message(reader)
            return answer and (int(answer[0].split()[1]), answer[1], answer[2])
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


class KeptConnection:
    """A client that keeps its connection to `address` for many requests, and opens a new one when that is closed."""

    def __init__(self, address):
        self.address, self.writer, self.served = address, None, 0

    async def call(self, method, target, headers, body=b"", timeout=5.0):
        """Returns (status or None, number of requests answered before on this connection)."""
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    host, _, port = self.address.rpartition(":")
                    self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
                    self.served = 0
                before = self.served
                self.writer.write(message(f"{method} {target} HTTP/1.1", headers, body))
                answer = await read_message(self.reader)
        except (OSError, TimeoutError):
            answer, before = None, self.served
        self.served += 1
        if answer is None or answer[1].get("connection", "").lower() == "close":
            self.close()
        return answer and (int(answer[0].split()[1])), before

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None


def free_port(ip):
    """A port that is free on `ip`, given once. It lies below the range of ports that the system gives to outgoing connections."""
    while True:
        port = random.randrange(12000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        if (ip, port) not in given_ports:
            given_ports.add((ip, port))
            return port


class Connection:
    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.silent = False  # the link has gone silent for good: nothing arrives in either direction any more

    async def send(self, data):
        if self.silent:
            await asyncio.sleep(3600)
        self.writer.write(data)
        await self.writer.drain()


class Server:
    """One listening address. Subclasses answer requests with `answer(connection, method, target, headers, body)`;
    False closes the connection."""

    def __init__(self):
        self.server = None
        self.connections = set()

    async def start(self, ip, port=0):
        self.address = f"{ip}:{port or free_port(ip)}"
        self.server = await asyncio.start_server(self.serve, ip, int(self.address.rpartition(":")[2]), limit=1 << 26)

    async def serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while request := await read_message(reader):
                if connection.silent:
                    await asyncio.sleep(3600)
                method, target, _ = request[0].split(" ", 2)
                if not await self.answer(connection, method, target, request[1], request[2]):
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            writer.transport.abort()


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.started = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
