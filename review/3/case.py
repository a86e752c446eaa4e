"""An engine sends a second copy of a 422 answer, late, on a kept connection; another item waits for its answer there."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from deployment import TROUBLE, BatchClient, Deployment, encode_job, main, make_items
from net import response


async def case(record):
    deployment = Deployment(record)
    try:
        await deployment.start()
        owner = await deployment.owner_of("m0")
        items = make_items("a1", [12 + n % 20 for n in range(120)])
        deployment.events.update({it["id"]: int(it["headers"]["Token-Count"].split(",")[1]) for it in items})
        never = items[30]["id"]  # one item that can never be done
        deployment.never.add(never)
        engine_of_never = {}
        sent = []

        async def extra(engine, connection, item):
            # Once: the answer to the item that can never be done arrives a second time on the connection that brought it,
            # at the point where the answer to the next request is expected.
            if item == never:
                engine_of_never[engine.name] = connection
            elif TROUBLE and not sent and engine_of_never.get(engine.name) is connection:
                sent.append(item)
                record(f"{engine.name}: sends the 422 for {never} once more, where the answer for {item} is expected")
                await connection.send(response(422, b"cannot be done", [("Request-Id", never), ("Server-Stamp", f"st-{engine.name}"),
                                                                        engine.load()]))

        for engine in deployment.engines:
            engine.before_answer = lambda connection, item, engine=engine: extra(engine, connection, item)
        client = BatchClient(record, deployment.hosts)
        if not await client.submit("a1", encode_job(items)):
            raise RuntimeError("the batch job wasn't accepted")
        results = await client.read_all("a1", len(items), 30)
        answered = sum(it.answered for it in deployment.engines)
        record(f"{len(results)} of {len(items)} items listed; {len(sent)} extra answer(s) beside {answered} answers; owner {owner.name}")
        if TROUBLE and not sent:
            raise RuntimeError("no request followed on the connection")
        if len(results) < len(items):
            raise RuntimeError("not all items were listed")
        wrong = [it for it, result in results.items() if result["state"] == "abandoned" and it != never]
        for it in wrong:
            statuses = [s for e in deployment.engines for s in e.statuses.get(it, [])]
            record(f"item {it} is listed as abandoned; the engines' own answers to it: {statuses}")
        return not wrong
    finally:
        await deployment.stop()


main(pathlib.Path(__file__).parent, case)
