"""The owner's open connections to the store go silent; a client ends the batch job at another host; the owner goes on."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from deployment import TROUBLE, BatchClient, Deployment, encode_job, main, make_items
from net import call

READERS = 48          # clients that read the batch job at the same moment, over the owner's machine
CANCEL_S = 3.0        # cancelMs
TOUCH_S = 3.0         # touchMs


async def case(record):
    deployment = Deployment(record, hosts=10)
    try:
        await deployment.start()
        owner = await deployment.owner_of("m0")
        others = [it for it in deployment.hosts if it is not owner]
        # A long step: more items than the engines have slots, so that items wait for the whole time.
        items = make_items("c1", [50] * 600)
        deployment.events.update({it["id"]: 50 for it in items})
        arrivals = []
        for engine in deployment.engines:
            async def note(connection, item):
                arrivals.append((time.monotonic(), item))
            engine.before_answer = note
        client = BatchClient(record, others)
        if not await client.submit("c1", encode_job(items)):
            raise RuntimeError("the batch job wasn't accepted")
        await asyncio.sleep(1.5)
        reads = await asyncio.gather(*[call(owner.front, "GET", "/api/lots/c1?after=0", [("Host", "train.example")])
                                       for _ in range(READERS)])
        record(f"clients: {READERS} reads at {owner.name}: {sorted({it and it[0] for it in reads})}; "
               f"{len(owner.store.connections)} open connections to the store")
        await asyncio.sleep(0.5)
        if TROUBLE:
            for it in owner.store.connections:
                it.silent = True
        silent_at = time.monotonic()
        record(f"{owner.name}: " + ("its open connections to the store go silent" if TROUBLE else "no trouble"))
        await asyncio.sleep(0.2)
        ended_at = None
        for host in others:
            answer = await call(host.front, "DELETE", "/api/lots/c1", [("Host", "train.example")])
            record(f"client: ends c1 at {host.name}: {answer and answer[0]}")
            if answer and answer[0] == 200:
                ended_at = time.monotonic()
                break
        if ended_at is None:
            raise RuntimeError("the end wasn't acknowledged")
        await asyncio.sleep(max(silent_at + TOUCH_S, ended_at + CANCEL_S) + 6 - time.monotonic())
        late = [(at, it) for at, it in arrivals if at > max(ended_at + CANCEL_S, silent_at + TOUCH_S)]
        record(f"{sum(at > ended_at for at, _ in arrivals)} items reached engines after the acknowledged end, {len(late)} of them "
               f"later than cancelMs, from a machine in touch")
        if late:
            record(f"the last {late[-1][0] - ended_at:.2f} s after the end ({late[-1][1]})")
        return not late
    finally:
        await deployment.stop()


main(pathlib.Path(__file__).parent, case)
