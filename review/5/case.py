"""Streams of callers while the entry hosts are stopped and started in turn (roll_term).

Six callers, each on a kept channel of an entry host, each with one stream at a
time of 23 events, one each 40 ms. Without trouble no host is stopped.

The check is the first LOST rule on planned work of RULES.md, as it is written.
"""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import deployment2  # noqa: E402
from deployment2 import GRACE_S, HOST, ZONES, Deployment, Replica, call, read_head  # noqa: E402

EVENTS, EVENT_S = 23, 0.04
TIMEOUT_MS = 10000
ROUNDS, GAP_S = 2, 2.0  # rolls of all entry hosts; pause between two stops
CALM_S = 20.0  # without trouble


class Model(Replica):
    """A model replica. It notes when it received a request and when it was done with it, or was cut off."""

    def __init__(self, deployment, zone, log):
        super().__init__(deployment, "huvo11a", zone, 12)
        self.log = log
        self.models = [{"name": "daka510000", "version": 1, "adapters": []}]

    async def run(self, request, writer):
        name = request.headers["x-rillwall-request-id"]
        entry = self.log.setdefault(name, {})
        entry["reached"] = time.monotonic()
        self.deployment.record.line("replica-begins", id=name, replica=self.id)
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                     f"X-Rillwall-Request-Id: {name}\r\nX-Rillwall-Server-Stamp: 3e1b.{name}\r\n"
                     f"X-Rillwall-Weight-Versions: 1\r\nX-Rillwall-Replica-Load: {self.load()}\r\n\r\n".encode())
        try:
            for n in range(1, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                event = f"id: {n}\ndata: {name}-{n}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                if writer.transport.is_closing():
                    raise ConnectionError
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            entry["done"] = True
        finally:
            entry["ended"] = time.monotonic()
            self.deployment.record.line("replica-ends", id=name, whole=entry.get("done", False))


class Caller:
    """A client that keeps its channel for some requests, then opens a new one."""

    def __init__(self, deployment, number, log):
        self.deployment, self.number, self.log = deployment, number, log
        self.zone = ZONES[number % 3]
        self.rng = random.Random()
        self.stopping = False

    async def run(self):
        shift = 0
        while not self.stopping:
            node = self.deployment.pick(self.zone, self.number // 3 + shift)
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(node.ip, 8161, limit=1 << 20), 1)
            except (OSError, asyncio.TimeoutError):
                shift += 1
                await asyncio.sleep(0.1)
                continue
            try:
                for _ in range(6):
                    more = await self.request(node, reader, writer)
                    if not more or self.stopping:
                        break
                    # The client closes no channel and waits for its next request.
                    if await self.pause(reader):
                        break
            finally:
                writer.transport.abort()
            shift = 0

    async def pause(self, reader):
        """Waits for the next request. Returns whether the host closed the channel meanwhile."""
        end = time.monotonic() + self.rng.uniform(0.1, 0.5)
        while time.monotonic() < end:
            await asyncio.sleep(0.01)
            if reader.at_eof():
                return True
        return reader.at_eof()

    async def request(self, node, reader, writer):
        """Sends one request. Returns whether the channel may be used again."""
        name = f"{self.rng.getrandbits(64):016x}"
        entry = self.log.setdefault(name, {})
        head = (f"POST /advice/{name[:4]} HTTP/1.1\r\nHost: {HOST}\r\nX-Rillwall-Request-Id: {name}\r\n"
                f"X-Rillwall-Deadline-Ms: 12000\r\nX-Rillwall-Model: daka510000\r\n"
                f"X-Rillwall-Token-Usage: 271,1242\r\nX-Rillwall-Prompt-Prefix: 9c2e41:255,{name[:8]}:16\r\n"
                f"Content-Length: 5\r\n\r\nhello").encode()
        entry.update(node=node, sent=time.monotonic(), status=None, complete=False)
        self.deployment.record.line("sent", id=name, node=node.name, caller=self.number)
        keep = False
        try:
            writer.write(head)
            await writer.drain()
            first, headers = await asyncio.wait_for(read_head(reader), 12)
            if first:
                entry["status"] = int(first.split()[1])
                keep = headers.get("connection", "").lower() != "close"
                body = await asyncio.wait_for(self.body(reader, headers), 12)
                entry["complete"] = body is not None
                keep = keep and body is not None
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            keep = False
        entry["closed"] = time.monotonic()
        self.deployment.record.line("answer", id=name, status=entry["status"], complete=entry["complete"])
        return keep

    @staticmethod
    async def body(reader, headers):
        if headers.get("transfer-encoding") != "chunked":
            return await reader.readexactly(int(headers.get("content-length", 0)))
        parts = []
        while size := int(await reader.readline() or b"?", 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)


def judge(log, stops, record):
    """LOST around planned work: returns the requests that break the rule."""
    broken = []
    for name, each in log.items():
        if "sent" not in each or "closed" not in each or each["complete"]:
            continue
        record.line("incomplete", id=name, node=each["node"].name, status=each["status"], passed_on="reached" in each)
        planned = [at for node, at in stops if node is each["node"] and each["sent"] <= at + GRACE_S + 1
                   and each["closed"] >= at]
        if not planned or "reached" not in each:
            continue  # not around planned work, or not passed on
        at = planned[-1]
        if each.get("done") or each["closed"] - each["sent"] > TIMEOUT_MS / 1000:
            continue  # the replica was done; or the timeout was reached
        # A replica that was still at work in the last sixth of grace-s, on a request of the first 3 s, is excused.
        if each["sent"] <= at + 3 and each["ended"] >= at + GRACE_S * 5 / 6:
            continue
        broken.append(f"LOST: request {name}, sent to {each['node'].name} {each['sent'] - at:.3f} s after its SIGTERM, "
                      f"was passed on {each['reached'] - each['sent']:.3f} s later; its channel ended without a "
                      f"complete answer {each['closed'] - at:.3f} s after the SIGTERM")
    return broken


async def case(record, trouble, holder):
    deployment = Deployment(record)
    holder.append(deployment)
    log, stops = {}, []
    replicas = [Model(deployment, zone, log) for zone in ZONES]
    await deployment.start(replicas, {
        "version": 7,
        "routes": [{"name": "r-advice", "host": HOST, "prefix": "/advice/", "type": "streaming",
                    "timeout-ms": TIMEOUT_MS, "target-latency-ms": 400, "priority": 0, "service": "huvo11a",
                    "attempts": 3, "sticky": True}],
        "services": [{"name": "huvo11a", "health-path": "/healthz", "max-conns": 150, "protocol": "h1", "tls": False,
                      "engine": {"slots": 12, "kv-capacity": 36982, "models": [{"name": "daka510000"}]}}],
        "limits": deployment2.limits()})
    callers = [Caller(deployment, i, log) for i in range(6)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(3)
    if trouble:
        for _ in range(ROUNDS):
            for node in deployment.entries:
                stops.append((node, time.monotonic()))
                await node.term_and_restart()
                while not node.in_rotation:
                    await asyncio.sleep(0.1)
                await asyncio.sleep(GAP_S)
    else:
        await asyncio.sleep(CALM_S)
    for caller in callers:
        caller.stopping = True
    await asyncio.wait(tasks, timeout=14)
    served = sum(1 for each in log.values() if each.get("complete"))
    record.line("sum", requests=len(log), complete=served, stops=len(stops))
    if served < 20:
        raise deployment2.CaseError("too few requests were served")
    return judge(log, stops, record)


deployment2.main(case, FOLDER)
