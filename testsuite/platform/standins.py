"""Stand-ins for the users' platform: the store, model engines and a plain service, with faults."""

import asyncio
import base64
import hashlib
import json
import random
import time
import urllib.parse

from web import Cut, Server, answer

CRASHING = b"crash"  # a request whose body begins with this crashes each replica that starts to run it
CREEPING = b"creep"  # an item whose body begins with this crashes each engine one to three events further on


def stable_number(text, below):
    """Returns a number from 0 to below-1 that depends only on a text."""
    return int(hashlib.sha256(text.encode()).hexdigest()[:12], 16) % below


class Store:
    """The metadata store.

    Modes: ok; busy (status 503); silent (no answer); slow; lost (changes are made, but some answers are
    lost); late (some changes are made a second after their connection was closed).
    """

    def __init__(self, rng):
        self.rng, self.mode, self.revision = rng, "ok", 1
        self.items, self.leases, self.history, self.changed = {}, {}, [], asyncio.Event()
        self.next_lease, self.compacted_to = 100, 0
        self.server = Server(self.handle)

    async def handle(self, request, _writer):
        if self.mode == "busy":
            return answer(503)
        while self.mode == "silent":
            await asyncio.sleep(0.05)
        if self.mode == "slow":
            await asyncio.sleep(0.3)
        await asyncio.sleep(0.002)
        name = request.path.removeprefix("/rillwall/kv-")
        if request.method == "GET":
            return await getattr(self, name)(request.query)
        if self.mode == "late" and name == "txn" and self.rng.random() < 0.5:
            asyncio.get_running_loop().call_later(1.0, self.change, request.json())
            raise Cut
        out = self.change(request.json()) if name == "txn" else self.lease_call(name, request)
        if self.mode == "lost" and self.rng.random() < 0.4:
            raise Cut
        return out

    @staticmethod
    def unquoted(query, name):
        return urllib.parse.unquote(query.get(name, ""))

    def row(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": lease}

    async def key(self, query):
        self.expire()
        key = self.unquoted(query, "key")
        found = key in self.items
        return answer(200, self.row(key) | {"current-rev": self.revision}) if found else answer(404)

    async def range(self, query):
        self.expire()
        prefix, after = self.unquoted(query, "prefix"), self.unquoted(query, "after")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return answer(200, {"items": [self.row(key) for key in keys[:20]],
                            "more-pages": len(keys) > 20, "current-rev": self.revision})

    async def watch(self, query):
        prefix, after = self.unquoted(query, "prefix"), int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if after < self.compacted_to:
                return answer(410)
            events = [row for row in self.history if row["revision"] > after and row["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return answer(200, {"events": events, "current-rev": self.revision})
            self.expire()
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass

    def record_event(self, row):
        self.history.append(row)
        if len(self.history) > 400:
            self.compact(200)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self, kept):
        self.compacted_to = max([self.compacted_to] + [row["revision"] for row in self.history[:-kept or None]])
        self.history = self.history[-kept:] if kept else []

    def put(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.record_event(self.row(key))

    def remove(self, key):
        if self.items.pop(key, None):
            self.record_event({"key": key, "revision": self.revision, "deleted": True})

    def write(self, key, value):
        """Writes a value in JSON, as the operator, a trainer or a replica does."""
        self.revision += 1
        self.put(key, json.dumps(value).encode())

    def write_bytes(self, key, value):
        """Writes any bytes, as other programs may do."""
        self.revision += 1
        self.put(key, value)

    def change(self, body):
        self.expire()
        guards = body.get("expected", [])
        if any(self.items.get(g["key"], (0, 0))[1] != g["revision"] for g in guards):
            return answer(412, {"items": [self.row(g["key"]) for g in guards if g["key"] in self.items]})
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in body.get("puts", [])):
            return answer(404)
        self.revision += 1
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return answer(200, {"revision": self.revision})

    def lease_call(self, name, request):
        self.expire()
        kind, _, lease = name.partition("/")
        if kind == "lease":
            self.next_lease += 1
            ttl = request.json()["ttl-ms"]
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return answer(200, {"lease": self.next_lease, "ttl-ms": ttl})
        lease = int(lease)
        if lease not in self.leases:
            return answer(404)
        if kind == "keep":
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return answer(200, {"ttl-ms": ttl})
        self.leases[lease] = (0, 0)
        self.expire()
        return answer(200, {})

    def expire(self):
        now = time.monotonic()
        for lease in [each for each, (end, _) in self.leases.items() if end < now]:
            del self.leases[lease]
            self.revision += 1
            for key in [key for key, item in self.items.items() if item[3] == lease]:
                self.remove(key)


class Replica:
    """Base of engines and plain services: registration and refusals."""

    unframed = 0  # one answer in so many has no length and ends with its connection; 0: none
    answers = 0  # by this replica
    ends_under = {}  # item, or path of a request -> how many replicas still end under it, by chance
    on_end = None  # called with a replica that ends by chance

    def __init__(self, store, rng, service, zone, slots):
        self.store, self.rng, self.service, self.zone, self.slots = store, rng, service, zone, slots
        self.id, self.running, self.fault, self.state, self.proxy = f"i-{rng.getrandbits(40):x}", 0, "", "ready", None
        self.on_crash = None
        self.server = Server(self.handle)

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.proxy.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold-remaining-ms": 0, "sequence": 1}

    def register(self):
        self.store.write(f"servers/{self.id}", self.entry())

    async def crash_on(self, request):
        """Crashes the replica if the request is made to crash it."""
        if request.body.startswith(CRASHING):
            await asyncio.sleep(0.02)
            self.crash(request)

    def crash(self, request):
        self.on_crash(self, request)
        raise Cut

    async def end_by_chance(self, key, pause):
        if self.ends_under.get(key, 0) > 0:
            self.ends_under[key] -= 1
            await asyncio.sleep(pause)
            Replica.on_end(self)
            raise Cut

    def next_is_unframed(self):
        """Returns whether the answer to the next request has no length."""
        self.answers += 1
        return self.unframed > 0 and self.answers % self.unframed == 0

    def refused(self, request):
        """Returns an answer that says that nothing ran, or None to run the request."""
        echo = {"X_Rillwall_Request_Id": request.headers.get("x-rillwall-request-id", "")}
        if request.headers.get("x-rillwall-expect-instance", self.id) != self.id:
            return answer(421, **echo)
        if "x-rillwall-request-id" not in request.headers:
            return answer(400, X_Rillwall_Not_Executed=1)
        if self.running >= self.slots or (self.fault == "full" and self.rng.random() < 0.5):
            return answer(503, X_Rillwall_Not_Executed=1, **echo)
        return None


class Service(Replica):
    """A plain service. It counts how often each request id ran."""

    parts = 1  # a body is sent in so many parts
    part_s = 0.005  # time between two of them

    def __init__(self, store, rng, service, zone, runs):
        super().__init__(store, rng, service, zone, 6)
        self.runs = runs

    async def handle(self, request, writer):
        if out := self.refused(request):
            return out
        name = request.headers["x-rillwall-request-id"]
        self.running += 1
        try:
            self.runs[name] = self.runs.get(name, 0) + 1
            await self.crash_on(request)
            await self.end_by_chance(request.path, 0.01)
            await asyncio.sleep(0.02 * (4 if self.fault == "slow" else 1))
        finally:
            self.running -= 1
        if self.fault == "lost" and self.rng.random() < 0.3:
            raise Cut
        status = 500 if self.fault == "errors" and self.rng.random() < 0.3 else 200
        whole = answer(status, b"body of " + name.encode(), X_Rillwall_Request_Id=name,
                       X_Rillwall_Server_Stamp="stamp-" + name)
        if self.parts == 1:
            return whole
        await self.send_parts(whole, self.next_is_unframed(), writer)
        return None

    async def send_parts(self, whole, unframed, writer):
        head, _, body = whole.partition(b"\r\n\r\n")
        if unframed:
            first, _, others = head.partition(b"\r\n")
            others = others.partition(b"\r\n")[2]  # without the length
            head = first + b"\r\nConnection: close\r\n" + others
        writer.write(head + b"\r\n\r\n")
        size = -(-len(body) // self.parts)
        for at in range(0, len(body), size):
            writer.write(body[at:at + size])
            await writer.drain()
            await asyncio.sleep(self.part_s)
        if unframed:
            writer.close()
            await writer.wait_closed()


class Engine(Replica):
    """A model engine. It records the weight version under which each event of each item was generated."""

    event_s = 0.01  # time that an event takes
    empty_runs = []  # items whose text was whole when a run began
    item_runs = {}  # item -> (begin, end) of each of its runs, by all engines

    def __init__(self, store, rng, service, zone, models, event_versions):
        super().__init__(store, rng, service, zone, 6)
        self.versions, self.event_versions = dict(models), event_versions
        self.sequence, self.busy, self.cut = 0, set(), 0

    def models(self):
        return [{"name": name, "version": version, "adapters": []} for name, version in self.versions.items()]

    def entry(self):
        return super().entry() | {"stage": "both", "models": self.models()}

    async def handle(self, request, writer):
        if request.headers.get("x-rillwall-expect-instance", self.id) != self.id:
            return answer(421)
        if request.path == "/rillwall/report":
            return answer(200, {"models": self.models(), "busy": bool(self.busy), "sequence": self.sequence})
        if request.path == "/rillwall/order":
            return await self.order(request)
        if out := self.refused(request):
            return out
        if request.headers["x-rillwall-model"] in self.busy:
            return answer(503, X_Rillwall_Not_Executed=1)
        self.running += 1
        name, begun = request.headers["x-rillwall-request-id"], time.monotonic()
        try:
            await self.crash_on(request)
            await self.end_by_chance(name, self.event_s / 2)
            await self.stream(request, writer)
        finally:
            self.running -= 1
            self.item_runs.setdefault(name, []).append((begun, time.monotonic()))

    async def order(self, request):
        order = request.json()
        if order.get("expected", self.sequence) != self.sequence or self.busy:
            return answer(409)
        if self.versions[order["model"]] >= order["version"]:
            return answer(200)
        self.sequence += 1
        self.busy.add(order["model"])
        if order["mode"] == "truncate":
            self.cut += 1
        asyncio.get_running_loop().call_later(0.3, self.loaded, order["model"], order["version"])
        if self.fault == "lost":
            raise Cut
        return answer(202)

    def loaded(self, model, version):
        self.busy.discard(model)
        self.versions[model] = version
        if self.state == "ready":
            self.register()

    async def stream(self, request, writer):
        name, model = request.headers["x-rillwall-request-id"], request.headers["x-rillwall-model"]
        at, cut, version = int(request.headers.get("last-event-id", 0)), self.cut, self.versions[model]
        if at >= events_of(name):
            self.empty_runs.append(name)
        unframed = self.next_is_unframed()
        framing = "Connection: close" if unframed else "Transfer-Encoding: chunked"
        writer.write(f"HTTP/1.1 200 x\r\n{framing}\r\nX-Rillwall-Request-Id: {name}\r\n"
                     f"X-Rillwall-Replica-Load: {self.running},0,{self.slots}\r\n"
                     f"X-Rillwall-Server-Stamp: s\r\nX-Rillwall-Weight-Versions: {version}\r\n\r\n".encode())
        crash_at = at + self.rng.randint(1, 3) if request.body.startswith(CREEPING) else -1
        while at < events_of(name):
            if at == crash_at:
                self.crash(request)
            await asyncio.sleep(self.event_s * (5 if self.fault == "slow" else 1))
            if cut != self.cut or (self.fault == "garble" and self.rng.random() < 0.05):
                raise Cut
            at += 1
            line = ""
            if self.versions[model] != version:
                version = self.versions[model]
                line = f"x-rillwall-weight-versions: {version}\n"
            self.event_versions.setdefault(name, {}).setdefault(at, set()).add(version)
            event = f"{line}id: {at}\ndata: {name}-{at}\n\n"
            if unframed:
                # In two pieces, so that an end may come in the middle.
                writer.write(event[:len(event) // 2].encode())
                await writer.drain()
                await asyncio.sleep(self.event_s / 4)
                writer.write(event[len(event) // 2:].encode())
            else:
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
        if unframed:
            writer.close()
            await writer.wait_closed()
        else:
            writer.write(b"0\r\n\r\n")


def events_of(item):
    """Returns the number of events of an item's complete text; some texts are long."""
    return 3 + stable_number(item, 12) + (60 if stable_number(item + "x", 12) == 0 else 0)


def text_of(item):
    """Returns an item's complete text."""
    return "\n".join(f"{item}-{n}" for n in range(1, events_of(item) + 1))
