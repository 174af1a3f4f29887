"""A batch submission whose route a config has removed: can it be read after all processes were killed?"""

import asyncio
import base64
import json
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deployment as d  # noqa: E402
from standins import Engine, Service  # noqa: E402

RECOVER_S = 12  # bound recover-s
DOWN_S = 0.6  # between the kill and the new start; the site's days have 0.54 to 1.3 s
READ_S = 15


def make_step(rng):
    items = []
    for at in range(12):
        name = f"{rng.getrandbits(64):016x}"
        items.append({"id": name, "path": "/steps/x", "group": f"g{at // 4}", "tokens": 100,
                      "headers": {"X-Rillwall-Model": d.MODEL}, "body": base64.b64encode(name.encode()).decode(),
                      "scorer": {"id": name[::-1], "host": d.HOST, "path": "/status/score", "body": ""}})
    return {"step": 1, "model": d.MODEL, "min-version": 1, "target-groups": 3, "items": items}


async def read(case, node, name, after):
    """Returns the results from a position on, or None if the host does not tell."""
    got = await case.call(node, "GET", f"/rillwall/lots/{name}?after={after}", {"X-Rillwall-Wait-Ms": "500"}, limit=3)
    return json.loads(got[2])["results"] if got is not None and got[0] == 200 else None


async def read_all(case, name, total, limit):
    """Reads a batch submission from the start, at all hosts in turn, again after each failure."""
    rows, turn, until = [], 0, time.monotonic() + limit
    while len(rows) < total and time.monotonic() < until:
        got = await read(case, case.entries[turn % 3], name, len(rows))
        turn += 1
        rows += got or []
        await asyncio.sleep(0 if got else 0.3)
    return rows


async def run(case):
    rng = random.Random(1)
    engines = [Engine(case.store, rng, "engine", d.ZONES[i % 3], {d.MODEL: 1}, {}) for i in range(4)]
    services = [Service(case.store, rng, "plain", zone, {}) for zone in d.ZONES]
    config = d.configuration()
    await case.start(engines + services, config)
    await asyncio.sleep(2)
    step, name = make_step(rng), f"{rng.getrandbits(64):016x}"
    await case.submit(name, step)
    before = await read_all(case, name, len(step["items"]), 12)
    case.note(f"the client has read {len(before)} of {len(step['items'])} results")
    if len(before) < len(step["items"]):
        raise d.CannotRun("the results were not listed in time")
    case.note("the operator writes config version 2, which removes the route of the batch submission")
    case.store.write("op/config", config | {"version": 2, "routes": config["routes"][:2]})
    if d.TROUBLE:  # the final fault, right after the config has been acknowledged
        case.note("all processes are killed, and started again")
        for node in case.nodes:
            node.process.send_signal(signal.SIGKILL)
        for node in case.nodes:
            await node.process.wait()
        await asyncio.sleep(DOWN_S)
        for node in case.nodes:
            await node.launch()
        await case.all_ready()
    await asyncio.sleep(RECOVER_S)
    served = await case.call(case.entries[0], "POST", "/status/a", {
        "X-Rillwall-Request-Id": f"{rng.getrandbits(64):016x}", "X-Rillwall-Deadline-Ms": "1500"}, b"x", 3)
    case.note(f"an ordinary request is {'served' if served is not None and served[0] == 200 else 'not served'}")
    after = await read_all(case, name, len(step["items"]), READ_S)
    case.note(f"the client reads {len(after)} of {len(before)} results again")
    if len(after) < len(before):
        case.breaks(f"LOST: of {len(before)} results that had been read, {len(after)} come again; all other reads "
                    f"failed for {READ_S} s")


d.main(__file__, run)
