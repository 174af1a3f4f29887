"""An end request that meets an outage of the store: can its batch submission be read afterwards?"""

import asyncio
import base64
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deployment as d  # noqa: E402
from standins import Engine, Service  # noqa: E402

OUTAGE_S = 1.2  # the days of the site have platform_down for 4 to 6.2 s
FINISH_S = 10  # bound finish-s
SETTLED_S = 7  # contact-ms and ack-ms after the outage
RETRIES = 1  # the sheet: client's retries
EVENTS = 400  # more than an engine makes in the case, so that no text ends before the end request


class LongEngine(Engine):
    """An engine whose texts last for the whole case."""

    async def stream(self, request, writer):
        name = request.headers["x-rillwall-request-id"]
        at = int(request.headers.get("last-event-id", 0))
        self.case.note(f"{self.id} runs item {name} from event {at + 1}")
        writer.write(f"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\nX-Rillwall-Request-Id: {name}\r\n"
                     f"X-Rillwall-Server-Stamp: s\r\nX-Rillwall-Weight-Versions: 1\r\n\r\n".encode())
        while at < EVENTS:
            await asyncio.sleep(0.04)
            at += 1
            event = f"id: {at}\ndata: {name}-{at}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            try:
                await writer.drain()
            except ConnectionError:
                self.case.note(f"{self.id} drops item {name} after event {at}: the caller closed the connection")
                raise
        writer.write(b"0\r\n\r\n")


def make_step(rng):
    items = []
    for at in range(8):
        name = f"{rng.getrandbits(64):016x}"
        items.append({"id": name, "path": "/steps/x", "group": f"g{at // 4}", "tokens": 100,
                      "headers": {"X-Rillwall-Model": d.MODEL}, "body": base64.b64encode(name.encode()).decode(),
                      "scorer": {"id": name[::-1], "host": d.HOST, "path": "/status/score", "body": ""}})
    return {"step": 1, "model": d.MODEL, "min-version": 1, "target-groups": 2, "items": items}


async def end(case, name):
    """Sends an end request as clients do: to one host, and once more to another one. Returns whether it was
    acknowledged."""
    for attempt in range(1 + RETRIES):
        got = await case.call(case.entries[attempt], "DELETE", f"/rillwall/lots/{name}", limit=6)
        if got is not None and got[0] == 200:
            return True
        await asyncio.sleep(float(got[1].get("retry-after", 0.2)) if got is not None else 0.2)
    return False


async def readable(case, name):
    """Reads a batch submission from the start, again after each failure, for FINISH_S. Returns whether an answer
    tells what is listed."""
    until = time.monotonic() + FINISH_S
    while time.monotonic() < until:
        for node in case.entries:
            got = await case.call(node, "GET", f"/rillwall/lots/{name}?after=0", {"X-Rillwall-Wait-Ms": "500"}, limit=3)
            if got is not None and got[0] == 200:
                case.note(f"the batch submission can be read: total {json.loads(got[2])['total']}")
                return True
        await asyncio.sleep(0.5)
    return False


async def run(case):
    rng = random.Random(1)
    LongEngine.case = case
    engines = [LongEngine(case.store, rng, "engine", d.ZONES[i % 3], {d.MODEL: 1}, {}) for i in range(3)]
    services = [Service(case.store, rng, "plain", zone, {}) for zone in d.ZONES]
    await case.start(engines + services, d.configuration())
    await asyncio.sleep(2)
    step, name = make_step(rng), f"{rng.getrandbits(64):016x}"
    await case.submit(name, step)
    await asyncio.sleep(1.5)
    if d.TROUBLE:
        case.note("the store is down (busy)")
        case.store.mode = "busy"
    begun = time.monotonic()
    await asyncio.sleep(0.3)
    acknowledged = await end(case, name)
    case.note(f"the end request was {'acknowledged' if acknowledged else 'not acknowledged, and is not sent again'}")
    await asyncio.sleep(max(0.0, OUTAGE_S - (time.monotonic() - begun)))
    case.store.mode = "ok"
    case.note("the store is up")
    await asyncio.sleep(SETTLED_S)
    case.note("traffic has ended; batch submissions have finish-s more")
    await asyncio.sleep(FINISH_S)
    if not await readable(case, name):
        case.breaks(f"LOST: batch submission {name} can't be read: all reads failed for {FINISH_S} s, from "
                    f"{SETTLED_S + FINISH_S} s after the outage on")


d.main(__file__, run)
