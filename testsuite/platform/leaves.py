"""Replicas that leave while the lead changes, for the soak.

Plain replicas and engines are replaced all the time. Each says in the store that it leaves, or its entry is removed
without that; it then serves on for some seconds, as a replica does that still has clients. Meanwhile the lead is killed,
suspended, or loses its way to the store, and so are other candidates and entry hosts. In a second part the leads are
only killed or stopped, so that whoever runs a step is sound. A third part has outages of the store, with
pauses in which hosts are in touch again.

  left      a request reaches no replica later than the bound after the store has taken its notice, nor after its
            entry was removed, if the store was undisturbed then; plain requests and streams of clients at entry hosts
            that are in touch, and in the second part items of steps and calls for scores
  served    nearly all requests of clients at undisturbed entry hosts are served meanwhile
"""

import asyncio
import json
import signal
import time

from standins import Engine, Service, events_of
from web import Proxy, call

CHECKS = ["left", "served"]
BOUND_S = 2.0  # drain-ms of the soak's hosts
CONTACT_S = 3.0  # after an outage of the store, hosts are in touch again
LEAVE_PAUSE_S = (0.15, 0.5)
LINGER_S = (3.0, 8.0)  # for which a replica serves on after its notice
SERVED_SHARE = 0.97
CLIENTS, STREAM_CLIENTS = 8, 3
LEAD_FAULT_PAUSE_S = (0.4, 1.6)
ENTRY_FAULT_PAUSE_S = (0.5, 2.0)
ENGINE_PAUSE_S = (0.8, 2.0)
OWNERS_S = 12  # for which whoever runs a step is sound
LEAST_CHECKS = 20  # late requests of a kind can only be seen if so many requests of it are checked
OUTAGES = 3


class Leaving:
    """A replica that knows when it left."""

    left_at = None  # when the store had taken its notice, or had removed its entry
    on_request = None  # called with the replica and each request that is meant for it

    async def handle(self, request, writer):
        wrong = request.headers.get("x-rillwall-expect-instance", self.id) != self.id
        if not wrong and "x-rillwall-request-id" in request.headers:
            self.on_request(self, request)
        return await super().handle(request, writer)


class LeavingService(Leaving, Service):
    pass


class LeavingEngine(Leaving, Engine):
    pass


class Leaves:
    """Replaces replicas, disturbs the leads, and checks what the replicas see."""

    def __init__(self, soak):
        self.soak, self.rng = soak, soak.rng
        self.asked, self.served, self.ending = 0, 0, False
        self.undisturbed_since = 0.0  # when the store was last disturbed
        self.touched = {}  # entry host -> when it was last disturbed
        self.takers = {}  # request of a client -> the entry host that took it
        self.owners_whole = False
        self.arrivals = {"plain": 0, "stream": 0, "item": 0, "score": 0}  # that were checked
        Leaving.on_request = staticmethod(self.check_arrival)

    def kind_of(self, request, now):
        """Returns the kind of a request if its sender counts as in touch, else None."""
        taker = self.takers.get(request.headers["x-rillwall-request-id"])
        if taker is not None:
            calm = now - self.touched.get(taker, 0.0) >= CONTACT_S
            return ("stream" if request.path.startswith("/stream/") else "plain") if calm else None
        kind = {"/steps/x": "item", "/status/score": "score"}.get(request.path)
        return kind if self.owners_whole else None

    def check_arrival(self, replica, request):
        now = time.monotonic()
        kind = self.kind_of(request, now)
        if kind is None or not self.undisturbed(now):
            return
        self.arrivals[kind] += 1
        if replica.left_at is not None:
            late = now - replica.left_at
            self.soak.check("left", late <= BOUND_S, f"{kind} request {request.headers['x-rillwall-request-id']} "
                            f"reached {replica.id} {late:.2f} s after it had left")

    def undisturbed(self, now):
        return now - self.undisturbed_since >= CONTACT_S

    def leave(self, replica):
        now = time.monotonic()
        if self.undisturbed(now) and replica.left_at is None:
            replica.left_at = now

    async def send(self, path, limit_ms, **headers):
        """Sends one request of a client. Returns whether it was served, or None at a disturbed entry host."""
        node, name = self.rng.choice(self.soak.entries), f"{self.rng.getrandbits(64):016x}"
        self.takers[name] = node
        got = await call(node.address(), "POST", path, {
            "Host": "soak.example", "X-Rillwall-Request-Id": name, "X-Rillwall-Deadline-Ms": str(limit_ms)} | headers,
            b"x", limit_ms / 1000 + 2)
        del self.takers[name]
        if time.monotonic() - self.touched.get(node, 0.0) < CONTACT_S + limit_ms / 1000:
            return None
        return got is not None and got[0] == 200

    async def client(self):
        while not self.ending:
            served = await self.send("/status/a", 1500)
            self.asked += served is not None
            self.served += served is True
            await asyncio.sleep(self.rng.uniform(0.01, 0.04))

    async def stream_client(self):
        while not self.ending:
            tokens = f"10,{events_of('any')}"
            await self.send("/stream/a", 8000, **{"X-Rillwall-Model": "model1", "X-Rillwall-Token-Usage": tokens})
            await asyncio.sleep(self.rng.uniform(0.02, 0.1))

    def replacement(self, old):
        soak = self.soak
        if isinstance(old, Engine):
            versions = {name: soak.newest_version for name in old.versions}
            return LeavingEngine(soak.store, self.rng, "engine", old.zone, versions, soak.event_versions)
        return LeavingService(soak.store, self.rng, "plain", old.zone, soak.runs)

    async def replace(self, kind, old):
        """Starts a replica for another one, which leaves."""
        new = self.replacement(old)
        new.on_crash = self.soak.crashed
        await new.server.start()
        new.proxy = await Proxy(new.server.port).start()
        new.register()
        kind[kind.index(old)] = new
        await asyncio.sleep(1.5)  # hosts use the new one by then
        if self.rng.random() < 0.5:
            old.state = "draining"
            old.register()
            self.leave(old)
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        old.state = "gone"  # it writes its entry no more
        self.soak.store.revision += 1
        self.soak.store.remove(f"servers/{old.id}")
        self.leave(old)
        await asyncio.sleep(self.rng.uniform(*LINGER_S))
        old.server.stop()
        old.proxy.stop()

    async def replace_all(self, kind, pause):
        leaving = []
        while not self.ending:
            leaving.append(asyncio.create_task(self.replace(kind, self.rng.choice(kind))))
            await asyncio.sleep(2 * self.rng.uniform(*pause))
            await asyncio.sleep(1.5 / len(kind))
        await asyncio.gather(*leaving)

    def lead(self):
        """Returns the candidate that leads, or any if none does."""
        item = self.soak.store.items.get("rillwall/lead")
        address = json.loads(item[0])["address"] if item else ""
        leads = [node for node in self.soak.nodes if not node.entry]
        return next((node for node in leads if address.startswith(node.ip + ":")), self.rng.choice(leads))

    async def disturb(self, node, ways=("kill", "term", "pause", "silent", "refuse", "reset")):
        way = self.rng.choice(ways)
        if way == "kill":
            await node.restart(signal.SIGKILL, self.rng.uniform(0.1, 2))
        elif way == "term":
            await node.restart(signal.SIGTERM)
        elif way == "pause":
            node.send(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.4, 3))
            node.send(signal.SIGCONT)
        else:
            node.proxy.set(way)
            await asyncio.sleep(self.rng.uniform(0.5, 4))
            node.proxy.set("pass")

    async def disturb_entries(self, seconds):
        """Suspends entry hosts, or cuts them off from the store, one after the other."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            node = self.rng.choice(self.soak.entries)
            self.touched[node] = float("inf")
            await self.disturb(node, ("pause", "silent", "refuse", "reset"))
            self.touched[node] = time.monotonic()
            await asyncio.sleep(self.rng.uniform(*ENTRY_FAULT_PAUSE_S))

    async def disturb_leads(self, seconds, **ways):
        """Disturbs the lead, and at times a second candidate; one stays whole."""
        busy, end = {}, time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(*LEAD_FAULT_PAUSE_S))
            node = self.lead()
            busy = {each: task for each, task in busy.items() if not task.done()}
            if node not in busy and len(busy) < self.soak.args.leads - 1:
                busy[node] = asyncio.create_task(self.disturb(node, **ways))
        await asyncio.gather(*busy.values())

    async def outages(self):
        for _ in range(OUTAGES):
            self.undisturbed_since = float("inf")
            self.soak.store.mode = self.rng.choice(["busy", "silent"])
            await asyncio.sleep(self.rng.uniform(1.0, 4.5))
            self.soak.store.mode = "ok"
            self.undisturbed_since = time.monotonic()
            await asyncio.sleep(CONTACT_S + 2.5)

    async def run(self):
        soak = self.soak
        work = [asyncio.create_task(self.client()) for _ in range(CLIENTS)]
        work += [asyncio.create_task(self.stream_client()) for _ in range(STREAM_CLIENTS)]
        work += [asyncio.create_task(self.replace_all(soak.services, LEAVE_PAUSE_S)),
                 asyncio.create_task(self.replace_all(soak.engines, ENGINE_PAUSE_S))]
        await asyncio.gather(self.disturb_leads(soak.args.seconds), self.disturb_entries(soak.args.seconds))
        await asyncio.sleep(CONTACT_S)
        self.owners_whole = True
        await self.disturb_leads(OWNERS_S, ways=("kill", "term"))
        self.owners_whole = False
        await self.outages()
        self.ending = True
        await asyncio.gather(*work)
        for kind, count in self.arrivals.items():
            soak.check("left", count >= LEAST_CHECKS, f"only {count} requests of the kind {kind} were checked")
        self.soak.check("served", self.served >= SERVED_SHARE * self.asked,
                        f"{self.asked - self.served} of {self.asked} requests were not served")
        self.soak.check("left", True, "")
