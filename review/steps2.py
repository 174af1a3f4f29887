"""Trainers, their batch submissions and model replicas, for the review's scripts.

The traffic is like that of the site tab-rillwall: two trainers, each with one
open step of 24 groups of 4 items, texts of some 23 events.
"""

import asyncio
import base64
import json
import math
import os
import random
import time

import deployment2
from deployment2 import HOST, ZONES, Deployment, Replica, answer, call

MODELS = ["daka510000", "rada7437b5"]
GROUPS, SIZE, WANT, TIME_LIMIT_S, EVERY_S, TRAIN_S = 24, 4, 0.9, 12.0, 4.0, 0.5
EVENT_S, MEAN_EVENTS = 0.04, 23


def events_of(item):
    """The length of an item's text, the same at all replicas."""
    rng = random.Random(item)
    return max(2, min(165, round(MEAN_EVENTS * math.exp(rng.gauss(-0.3, 0.7)))))


class Engine(Replica):
    """A model replica: streams of items, orders of weights, reports."""

    def __init__(self, deployment, zone):
        super().__init__(deployment, "huvo11a", zone, 12)
        self.versions = {name: 1 for name in MODELS}
        self.busy, self.orders, self.cuts = set(), 0, {name: 0 for name in MODELS}
        self.refresh()

    def refresh(self):
        self.models = [{"name": name, "version": version, "adapters": []} for name, version in self.versions.items()]

    async def handle(self, request, writer):
        mine = request.headers.get("x-rillwall-expect-instance", self.id) == self.id
        if mine and request.path == "/rillwall/report":
            return answer(200, {"stage": "both", "models": self.models, "busy": bool(self.busy),
                                "sequence": self.orders, "waiting": 0, "running": self.running, "kv-used": 0,
                                "kv-total": 36982, "handles": 0})
        if mine and request.path == "/rillwall/order":
            return self.order(request.json())
        if mine and request.headers.get("x-rillwall-model") in self.busy:
            return self.refuse(request)
        return await super().handle(request, writer)

    def order(self, order):
        if self.busy or order.get("expected", self.orders) != self.orders:
            return answer(409)
        model, version = order["model"], order["version"]
        if self.versions[model] >= version:
            return answer(200)
        self.orders += 1
        self.busy.add(model)
        if order["mode"] == "truncate":
            self.cuts[model] += 1

        def loaded():
            self.busy.discard(model)
            self.versions[model] = version
            self.refresh()
            self.deployment.store.write(f"servers/{self.id}", self.entry())
        asyncio.get_running_loop().call_later(0.9, loaded)
        return answer(202)

    def begins(self, item, after, last):
        """Called as a run begins that goes on after an event."""

    def answered(self, writer, answer_bytes):
        """Called after a whole answer was sent on a channel."""

    def data_of(self, item, n):
        """The data of the n-th event of an item."""
        return f"{item}-{n} ".encode() + b"w" * 40

    async def run(self, request, writer):
        item, model = request.headers["x-rillwall-request-id"], request.headers["x-rillwall-model"]
        at, version, cut = int(request.headers.get("last-event-id", 0)), self.versions[model], self.cuts[model]
        sent = bytearray()

        def send(part):
            sent.extend(part)
            writer.write(part)

        send(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
             f"X-Rillwall-Request-Id: {item}\r\nX-Rillwall-Server-Stamp: 3e1b.{item}\r\n"
             f"X-Rillwall-Weight-Versions: {version}\r\nX-Rillwall-Replica-Load: {self.load()}\r\n\r\n".encode())
        last = events_of(item)
        self.begins(item, at, last)
        while at < last:
            await asyncio.sleep(EVENT_S)
            if cut != self.cuts[model]:
                raise ConnectionError  # the order resets the streams
            at += 1
            data = self.data_of(item, at).replace(b"\n", b"\ndata: ")
            event = b"id: %d\ndata: " % at + data + b"\n\n"
            send(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        send(b"0\r\n\r\n")
        await writer.drain()
        self.answered(writer, bytes(sent))


class Portal(Replica):
    """The plain service, which also answers the reward calls."""

    def __init__(self, deployment, zone):
        super().__init__(deployment, "wuno96b", zone, 6)

    async def run(self, request, writer):
        await asyncio.sleep(0.03)
        return answer(200, b"x" * 800, X_Rillwall_Server_Stamp="3e1b." + request.headers["x-rillwall-request-id"],
                      **self.headers(request))


class Lot:
    """A batch submission: what its trainer knows of it."""

    def __init__(self, model, step):
        self.id = f"{random.getrandbits(64):016x}"
        self.model, self.step, self.accepted, self.ended = model, step, None, None
        self.results = []
        self.refused_in_a_row = 0
        name = f"{model}-{step}"
        self.items = [{
            "id": f"{random.getrandbits(64):016x}", "path": f"/{model}/{step}", "tokens": 1513, "group": f"{name}-{g}",
            "headers": {"X-Rillwall-Model": model, "X-Rillwall-Token-Usage": "271,1242",
                        "X-Rillwall-Prompt-Prefix": f"{g + 256 * step:x}:255,{g:x}:16"},
            "body": base64.b64encode(os.urandom(450)).decode(),
            "scorer": {"id": f"{random.getrandbits(64):016x}", "host": HOST, "path": "/pufi791/s",
                       "body": base64.b64encode(os.urandom(450)).decode()}}
            for g in range(GROUPS) for _ in range(SIZE)]

    def complete_groups(self):
        done = {row["id"] for row in self.results}
        groups = {}
        for item in self.items:
            groups.setdefault(item["group"], []).append(item["id"] in done)
        return sum(all(each) for each in groups.values())


class Trainer:
    """Runs one step after the other."""

    def __init__(self, deployment, model, lots):
        self.deployment, self.model, self.lots, self.record = deployment, model, lots, deployment.record
        self.version = 1

    def host(self):
        return self.deployment.pick(random.choice(ZONES), random.randrange(2))

    async def call(self, method, target, headers=None, body=b"", limit=4.0):
        node = self.host()
        return await call((node.ip, 8161), method, target, {"Host": HOST} | (headers or {}), body, limit)

    async def run(self, end):
        step = 0
        while time.monotonic() < end:
            begun = time.monotonic()
            await self.step(Lot(self.model, step))
            step += 1
            await asyncio.sleep(TRAIN_S)
            self.version += 1
            self.deployment.store.write(f"op/version/{self.model}", {"model": self.model, "version": self.version})
            await asyncio.sleep(max(0.0, begun + EVERY_S - time.monotonic()))

    async def step(self, lot):
        body = json.dumps({"step": lot.step, "model": self.model, "min-version": max(1, self.version - 1),
                           "target-groups": round(GROUPS * WANT), "items": lot.items}).encode()
        due = time.monotonic() + TIME_LIMIT_S
        while lot.accepted is None and time.monotonic() < due:
            got = await self.call("POST", f"/{self.model}/{lot.id[:6]}", {
                "X-Rillwall-Request-Id": lot.id, "Content-Type": "application/json"}, body)
            if got and got[0] == 202:
                lot.accepted = time.monotonic()
                self.lots.append(lot)
                self.record.line("accepted", lot=lot.id, model=self.model, step=lot.step)
        while time.monotonic() < due and lot.complete_groups() < round(GROUPS * WANT):
            await read(self, lot, lot.results)
            await asyncio.sleep(0.3)
        self.record.line("trainer-ends", lot=lot.id, read=len(lot.results), groups=lot.complete_groups())
        for _ in range(20):
            got = await self.call("DELETE", f"/rillwall/lots/{lot.id}")
            if got and got[0] == 200:
                lot.ended = time.monotonic()
                break
            await asyncio.sleep(0.2)


async def read(trainer, lot, results):
    """Reads the results that come next. Returns the status."""
    got = await trainer.call("GET", f"/rillwall/lots/{lot.id}?after={len(results)}", {"X-Rillwall-Wait-Ms": "1000"},
                             limit=2.5)
    status = got[0] if got else None
    if status == 200:
        try:
            page = json.loads(got[2])
        except ValueError:
            page = json.loads(got[2].decode("utf-8", "replace"))
        results.extend(page["results"])
        lot.refused_in_a_row = 0
        return 200, len(page["results"])
    lot.refused_in_a_row += 1
    trainer.record.line("read-refused", lot=lot.id, after=len(results), status=status,
                        why=(got[2][:160] if got else None))
    return status, 0


async def start(record, holder, engine):
    """Starts a deployment with nine model replicas of a class, and three plain ones.

    Returns the deployment and the model replicas.
    """
    deployment = Deployment(record)
    holder.append(deployment)
    engines = [engine(deployment, zone) for zone in ZONES for _ in range(3)]
    route = {"host": HOST, "priority": 0, "service": "huvo11a", "type": "rollout", "timeout-ms": 10000,
             "target-latency-ms": 400, "due-ms": 7500, "max-wait-s": 40, "attempts": 3, "sticky": True}
    await deployment.start(engines + [Portal(deployment, zone) for zone in ZONES], {
        "version": 7,
        "routes": [route | {"name": f"r-{name}", "prefix": f"/{name}/"} for name in MODELS] + [
            {"name": "r-score", "host": HOST, "prefix": "/pufi791/", "type": "idempotent", "timeout-ms": 1500,
             "target-latency-ms": 150, "priority": 2, "service": "wuno96b", "attempts": 4}],
        "services": [
            {"name": "huvo11a", "health-path": "/healthz", "max-conns": 150, "protocol": "h1", "tls": False,
             "engine": {"slots": 12, "kv-capacity": 36982, "models": [{"name": name} for name in MODELS]}},
            {"name": "wuno96b", "health-path": "/healthz", "max-conns": 96, "protocol": "h1", "tls": False}],
        "limits": deployment2.limits()})
    return deployment, engines


async def train(deployment, lots, span_s):
    """Runs both trainers for a time. Returns them."""
    trainers, end = [Trainer(deployment, name, lots) for name in MODELS], time.monotonic() + span_s
    await asyncio.gather(*(trainer.run(end) for trainer in trainers))
    return trainers
