"""The owner of a batch job is killed once; most results are listed. The hosts' links have 45 Mbit/s."""
import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig2  # noqa: E402
import standins  # noqa: E402
from rig2 import BROKEN, HELD, CouldNotRun, StorePort, TROUBLE, call  # noqa: E402

MODEL = "m1"
ROUTE_HOST = "train.example"
LINK_BYTES_PER_S = 45e6 / 8  # the slowest machines of a sheet
ANSWER_S = 0.004          # of the store
PAGE_BYTES = 1_000_000    # of one answer of the store
ENGINES, SLOTS, EVENT_S = 24, 16, 0.045
EVENT_BYTES = 2_000                    # the sheets' largest
ITEMS, EVENTS = 320, 16                # texts of 32 KB
LONG_ITEMS, LONG_EVENTS = 24, 190      # of them; the sheets' longest texts have 194 events
OTHER_CLIENTS = 5                      # each reads twice a second, at any host, from any position
DEADLINE_S = 12.0                      # the trainer's
TOUCH_S = 3.0                          # after the kill; touchMs of the sheet
WAIT_BOUND_S = 5.0                     # the rule: at no engine for this long in steady state
SHORT_RUN_S = 1.0                      # the rule: a run that its sender ends within a second doesn't count
WATCH_S = 45.0                         # how long the batch job is watched beyond the trainer's deadline

standins.SLOTS, standins.EVENT_S = SLOTS, EVENT_S
standins.event_data = lambda item, number, version: f"{item}.{number}.{version}.".ljust(EVENT_BYTES, "x")

SERVICES = [{"name": "engines", "healthPath": "/health", "maxConnections": 150, "engine": {"models": [{"name": MODEL}]}}]
ROUTE = {"name": "r0", "host": ROUTE_HOST, "prefix": "/lots/", "routeKind": "rollout", "timeoutMs": 10000, "targetLatencyMs": 500,
         "priority": 0, "maxAttempts": 3, "keepS": 120, "runAimMs": 7500, "singleVersion": False, "service": "engines"}


class PagedStore(rig2.Store):
    """Answers hold at most 1 MB of rows, as the pages say."""

    def get(self, query):
        answer = super().get(query)
        rows, size = [], 0
        for row in answer["rows"]:
            size += len(row["value"])
            if size > PAGE_BYTES and rows:
                answer["hasMore"] = True
                break
            rows.append(row)
        answer["rows"] = rows
        return answer


class LinkToStore(StorePort):
    """The store as one host reaches it: all answers share the host's link."""

    def __init__(self, store):
        super().__init__(store)
        self.link = asyncio.Lock()

    async def answer(self, writer, method, target, headers, body):
        inner = _Buffered()
        await asyncio.sleep(ANSWER_S - 0.002)  # the base class waits for 2 ms
        keep = await super().answer(inner, method, target, headers, body)
        async with self.link:
            for at in range(0, len(inner.data), 32 << 10):
                piece = bytes(inner.data[at:at + (32 << 10)])
                writer.write(piece)
                await asyncio.sleep(len(piece) / LINK_BYTES_PER_S)
        return keep


class _Buffered:
    def __init__(self):
        self.data = bytearray()

    def write(self, data):
        self.data += data


class TimedEngine(rig2.ModelEngine):
    """Records when each run began and ended."""
    runs = []  # [item, begun, ended or None, whether the text was finished]

    async def generate(self, writer, headers):
        run = [headers["request-id"], time.monotonic(), None, False]
        TimedEngine.runs.append(run)
        try:
            run[3] = await super().generate(writer, headers) and not writer.is_closing()
            return run[3]
        finally:
            run[2] = time.monotonic()


async def read(rig, name, job, state):
    """Reads the batch job at the hosts in turn, as the balancer spreads new connections. Stops when all is listed."""
    after = 0
    while not state["over"]:
        host = random.choice([it for it in rig.hosts if it.process.returncode is None])
        status, page = await rig2.read_job(host.port, job, after, ROUTE_HOST, 1000 if name == "trainer" else 0)
        for offset, result in enumerate(page["results"] if page else []):
            if after + offset not in state["seen"]:
                state["seen"][after + offset] = result
                state["last"] = time.monotonic()
        if name == "trainer":
            after = page["next"] if page else after
            await asyncio.sleep(0.05 if page and page["results"] else 0.5)
        else:
            after = random.randrange(0, max(1, len(state["seen"])))
            await asyncio.sleep(0.5)


def listed(rig, job):
    return sum(1 for table, part, key in rig.store.rows if table == "batch" and part == job and key[0] == "r" and "/" not in key)


async def body(rig):
    rig.store = PagedStore()
    for n in range(ENGINES):
        engine = TimedEngine(f"e{n}", rig2.ZONES[n % 3], rig.store, rig.books, [MODEL], "engines")
        await rig.bring_up(engine)
    rig.put_config([ROUTE], SERVICES)
    await rig.start_hosts(6, LinkToStore)
    end = time.monotonic() + 15
    while rig.owner_of(MODEL) is None:
        if time.monotonic() > end:
            raise CouldNotRun("no host took the model")
        await asyncio.sleep(0.2)
    await asyncio.sleep(3)
    owner = rig.owner_of(MODEL)
    job = "job1"
    items = rig2.make_items(job, ITEMS, EVENTS, MODEL, "/lots/")
    for item in items[-LONG_ITEMS:]:
        item["headers"].update({"X-Events": str(LONG_EVENTS), "Length-Hint": str(40 * LONG_EVENTS)})
    port = next(it for it in rig.hosts if it is not owner).port
    answer = await call(port, "POST", f"/lots/{job}", [("Host", ROUTE_HOST), ("Request-Id", job)], rig2.submission(items, MODEL))
    rig.record(f"sent {job} of {ITEMS} items; answered {answer[0] if answer else 'nothing'}; {owner.name} owns {MODEL}")
    if answer is None or answer[0] != 202:
        raise CouldNotRun("the batch job was not accepted")
    sent = time.monotonic()
    state = {"seen": {}, "last": sent, "over": False}
    readers = [asyncio.create_task(read(rig, name, job, state)) for name in ("trainer",) + OTHER_CLIENTS * ("other client",)]
    while listed(rig, job) < ITEMS - LONG_ITEMS - 16 and time.monotonic() < sent + 8:
        await asyncio.sleep(0.02)
    rig.record(f"{listed(rig, job)} results are in the store {time.monotonic() - sent:.2f} s after the 202")
    killed = time.monotonic()
    if TROUBLE:
        owner.process.send_signal(signal.SIGKILL)
        rig.record(f"{owner.name} is killed; it starts again 1 s later")
        await owner.process.wait()
        await asyncio.sleep(1)
        await owner.store.stop()
        await owner.start()
    status = HELD
    reported = 0
    while len(state["seen"]) < ITEMS and time.monotonic() < sent + DEADLINE_S + WATCH_S:
        await asyncio.sleep(0.1)
        now = time.monotonic()
        if reported or now < sent + DEADLINE_S:
            continue
        reported = 1
        status = judge(rig, items, state, sent, killed, now)
        if status == HELD:
            break
    state["over"] = True
    for it in readers:
        it.cancel()
    rig.record(f"{len(state['seen'])} of {ITEMS} items are listed, the last {state['last'] - sent:.1f} s after the 202; "
               f"watched until {time.monotonic() - sent:.1f} s after it")
    for host in rig.hosts:
        for line in host.log_lines('"batch_takeover"')[:4]:
            rig.record(f"log of {host.name}: {line}")
        rig.record(f"log of {host.name}: {len(host.log_lines('batch_takeover'))} takeovers, "
                   f"{len(host.log_lines('batch_released', 'lease_lost'))} of them lost again")
    return status


def judge(rig, items, state, sent, killed, now):
    """The rule at the trainer's deadline."""
    finished = {it["id"] for it in state["seen"].values()} | {run[0] for run in TimedEngine.runs if run[3]}
    steady_since = killed + TOUCH_S if TROUBLE else sent
    waited = {}
    for item in items:
        if item["id"] in finished:
            continue
        runs = [run for run in TimedEngine.runs if run[0] == item["id"]]
        counted = [run for run in runs if run[2] is None or run[2] - run[1] > SHORT_RUN_S]
        at_engine_until = max([now if run[2] is None else run[2] for run in counted], default=0)
        waited[item["id"]] = now - max(at_engine_until, steady_since)
    busy = sum(it.running for it in rig.upstreams)
    rig.record(f"the trainer's deadline, {DEADLINE_S} s after the 202: {len(state['seen'])} of {ITEMS} items are listed, "
               f"{len(waited)} unfinished at any engine, {busy} of {ENGINES * SLOTS} places are taken")
    stuck = {k: v for k, v in waited.items() if v > WAIT_BOUND_S}
    if not stuck or busy * 2 >= ENGINES * SLOTS:
        return HELD
    rig.record(f"BROKEN: {len(stuck)} items have been at no engine for over {WAIT_BOUND_S} s of steady state, e.g. "
               f"{next(iter(stuck))} for {next(iter(stuck.values())):.1f} s")
    return BROKEN


rig2.run_case(__file__, body)
