"""Replicas that leave while the lead changes, for the soak.

Plain replicas are replaced all the time. Each says in the store that it leaves, or its entry is removed without
that; it then serves on for some seconds, as a replica does that still has clients. Meanwhile the lead is killed,
suspended, or loses its way to the store, and so are other candidates. The store and the entry hosts are left alone.
A second part does the same beside outages of the store, with pauses in which hosts are in touch again.

  left      a request reaches no replica later than the bound after the store has taken its notice, nor after its
            entry was removed, if the store was undisturbed then; taken from requests of clients at entry hosts
            that are in touch
  served    nearly all requests of clients are served meanwhile
"""

import asyncio
import json
import signal
import time

from standins import Service
from web import Proxy

CHECKS = ["left", "served"]
BOUND_S = 2.0  # drain-ms of the soak's hosts
CONTACT_S = 3.0  # after an outage of the store, hosts are in touch again
LEAVE_PAUSE_S = (0.15, 0.5)
LINGER_S = (3.0, 8.0)  # for which a replica serves on after its notice
SERVED_SHARE = 0.97
CLIENTS = 8
LEAD_FAULT_PAUSE_S = (0.4, 1.6)
OUTAGES = 3


class LeavingService(Service):
    """A plain service that knows when it left."""

    left_at = None  # when the store had taken its notice, or had removed its entry
    on_request = None  # called with the replica, for each request that it does not refuse

    async def handle(self, request, writer):
        wrong = request.headers.get("x-rillwall-expect-instance", self.id) != self.id
        if not wrong and request.path.endswith("/a"):
            self.on_request(self)
        return await super().handle(request, writer)


class Leaves:
    """Replaces replicas, disturbs the leads, and checks what the replicas see."""

    def __init__(self, soak):
        self.soak, self.rng = soak, soak.rng
        self.asked, self.served, self.ending = 0, 0, False
        self.undisturbed_since = 0.0  # when the store was last disturbed
        LeavingService.on_request = staticmethod(self.check_arrival)

    def check_arrival(self, replica):
        now = time.monotonic()
        if replica.left_at is None or not self.undisturbed(now):
            return
        late = now - replica.left_at
        self.soak.check("left", late <= BOUND_S, f"a request reached {replica.id} {late:.2f} s after it had left")

    def undisturbed(self, now):
        return now - self.undisturbed_since >= CONTACT_S

    def leave(self, replica):
        now = time.monotonic()
        if self.undisturbed(now) and replica.left_at is None:
            replica.left_at = now

    async def client(self):
        while not self.ending:
            self.asked += 1
            served = await self.soak.request("status", f"{self.rng.getrandbits(64):016x}")
            self.served += served
            await asyncio.sleep(self.rng.uniform(0.01, 0.04))

    async def replace(self, old):
        """Starts a replica for another one, which leaves."""
        services = self.soak.services
        new = LeavingService(self.soak.store, self.rng, "plain", old.zone, self.soak.runs)
        new.on_crash = self.soak.crashed
        await new.server.start()
        new.proxy = await Proxy(new.server.port).start()
        new.register()
        services[services.index(old)] = new
        await asyncio.sleep(1.5)  # hosts use the new one by then
        if self.rng.random() < 0.5:
            old.state = "draining"
            old.register()
            self.leave(old)
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        self.soak.store.revision += 1
        self.soak.store.remove(f"servers/{old.id}")
        self.leave(old)
        await asyncio.sleep(self.rng.uniform(*LINGER_S))
        old.server.stop()
        old.proxy.stop()

    async def replace_all(self):
        leaving = []
        while not self.ending:
            leaving.append(asyncio.create_task(self.replace(self.rng.choice(self.soak.services))))
            await asyncio.sleep(2 * self.rng.uniform(*LEAVE_PAUSE_S))
            await asyncio.sleep(1.5 / len(self.soak.services))
        await asyncio.gather(*leaving)

    def lead(self):
        """Returns the candidate that leads, or any if none does."""
        item = self.soak.store.items.get("rillwall/lead")
        address = json.loads(item[0])["address"] if item else ""
        leads = [node for node in self.soak.nodes if not node.entry]
        return next((node for node in leads if address.startswith(node.ip + ":")), self.rng.choice(leads))

    async def disturb(self, node):
        way = self.rng.choice(["kill", "term", "pause", "silent", "refuse", "reset"])
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

    async def disturb_leads(self, seconds):
        """Disturbs the lead, and at times a second candidate; one stays whole."""
        busy, end = {}, time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(*LEAD_FAULT_PAUSE_S))
            node = self.lead()
            busy = {each: task for each, task in busy.items() if not task.done()}
            if node not in busy and len(busy) < self.soak.args.leads - 1:
                busy[node] = asyncio.create_task(self.disturb(node))
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
        clients = [asyncio.create_task(self.client()) for _ in range(CLIENTS)]
        replacing = asyncio.create_task(self.replace_all())
        await self.disturb_leads(self.soak.args.seconds)
        await asyncio.sleep(CONTACT_S)
        await self.outages()
        self.ending = True
        await asyncio.gather(replacing, *clients)
        self.soak.check("served", self.served >= SERVED_SHARE * self.asked,
                        f"{self.asked - self.served} of {self.asked} requests were not served")
        self.soak.check("left", True, "")
