"""A batch job on a route whose traffic is split over two services; an engine of the service listed first is lost for good."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig2  # noqa: E402
from rig2 import BROKEN, HELD, CouldNotRun, TROUBLE, call  # noqa: E402

MODEL = "m1"
ROUTE_HOST = "train.example"
ITEMS, EVENTS = 16, 60
DEADLINE_S = 12.0   # the trainer's, as the sheets give it
WAIT_BOUND_S = 5.0  # the rule: at no engine for this long
SERVICES = [{"name": name, "healthPath": "/health", "maxConnections": 150, "engine": {"models": [{"name": MODEL}]}}
            for name in ("pool-a", "pool-b")]
ROUTE = {"name": "r0", "host": ROUTE_HOST, "prefix": "/lots/", "routeKind": "rollout", "timeoutMs": 10000, "targetLatencyMs": 500,
         "priority": 0, "maxAttempts": 3, "keepS": 40, "runAimMs": 7500, "singleVersion": False,
         "trafficSplit": [{"service": "pool-a", "weight": 10}, {"service": "pool-b", "weight": 90}]}


async def body(rig):
    first = await rig.add_engine("a0", "za", [MODEL], "pool-a")
    others = [await rig.add_engine(f"b{n}", rig2.ZONES[n % 3], [MODEL], "pool-b") for n in range(6)]
    rig.put_config([ROUTE], SERVICES)
    await rig.start_hosts(3)
    await asyncio.sleep(4)
    job = "job1"
    items = rig2.make_items(job, ITEMS, EVENTS, MODEL, "/lots/")
    port = rig.hosts[0].port
    answer = await call(port, "POST", f"/lots/{job}", [("Host", ROUTE_HOST), ("Request-Id", job)], rig2.submission(items, MODEL))
    rig.record(f"sent {job} of {ITEMS} items; answered {answer[0] if answer else 'nothing'}")
    if answer is None or answer[0] != 202:
        raise CouldNotRun("the batch job was not accepted")
    sent = time.monotonic()
    await asyncio.sleep(0.4)
    if TROUBLE:
        await rig.lose(first)
        rig.record(f"1 of 7 engines, {first.name} of pool-a, is lost for good; runs so far: {dict(rig.books.runs)}")
    lost_at = time.monotonic()
    seen, busiest = {}, 0
    while len(seen) < ITEMS and time.monotonic() < sent + DEADLINE_S:
        status, page = await rig2.read_job(port, job, len(seen), ROUTE_HOST, 500)
        busiest = max(busiest, sum(it.running for it in others))
        for result in page["results"] if page else []:
            seen[result["id"]] = result
            rig.record(f"{job} lists {result['id']} {result['state']} {time.monotonic() - sent:.2f} s after its 202")
        await asyncio.sleep(0.1)
    unlisted = [it["id"] for it in items if it["id"] not in seen]
    arrivals = {}
    for at, item, engine in rig.books.arrivals:
        arrivals[item] = (at, engine)
        rig.record(f"ran: {item} at {engine}, {at - sent:.2f} s after the 202")
    waited = {it: time.monotonic() - max(lost_at, arrivals.get(it, (0, ""))[0]) for it in unlisted}
    rig.record(f"{len(unlisted)} of {ITEMS} items are not listed at the trainer's deadline; {len(arrivals)} items had begun; "
               f"at most {busiest} of {8 * len(others)} places of pool-b were taken")
    stuck = [it for it, seconds in waited.items() if seconds > WAIT_BOUND_S]
    if stuck and arrivals and busiest < 4 * len(others):
        rig.record(f"BROKEN: {len(stuck)} items have been at no engine for over {WAIT_BOUND_S} s, e.g. {stuck[0]} for "
                   f"{waited[stuck[0]]:.1f} s")
        return BROKEN
    return HELD


rig2.run_case(__file__, body)
