"""Ordered replicas in the soak: a stand-in for the platform's /scale, with refusals, lost answers and
revocable replicas that are taken away. It is used only if the soak is started with --scaling."""

import asyncio
import json
import random
import time

from standins import Engine
from web import Cut, Proxy, Server, answer

SERVICE, MIN, MAX, BOOT_S, NOTICE_S, NONE_S = "engine", 1, 6, 1.0, 2.5, 4
KEY = f"rillwall/scale/{SERVICE}"


class OrderedEngine(Engine):
    """An engine whose registry entry says whether it is revocable, and when it leaves."""

    spot, leaves_at = False, None

    def entry(self):
        more = {"spot": True} if self.spot else {}
        if self.leaves_at:
            more["leaves_ms"] = max(0, int(1000 * (self.leaves_at - time.monotonic())))
        return super().entry() | more


class Cloud:
    """Carries out orders, and checks the rules for them."""

    def __init__(self, soak, zones):
        # A seed of its own: with the soak's, replicas would get the ids of those of the start.
        self.soak, self.zones, self.rng = soak, zones, random.Random(f"scaling {soak.args.seed}")
        self.server, self.holders, self.none_until = Server(self.handle), {}, {}
        self.targets, self.accepted, self.ended, self.reclaimed = {}, 0, 0, 0
        self.unanswered = {}  # (holder, zone, spot) -> target of a call that was not answered

    async def start(self):
        await self.server.start()

    def settings(self):
        return f'[cloud]\naddress = "127.0.0.1:{self.server.port}"\nduties = ["autoscale"]\n'

    def scaling(self):
        return {"scaling": {"min": MIN, "max": MAX, "boot-s": BOOT_S, "spot-price": 0.2,
                            "zone-prices": {zone: 1.0 + i / 10 for i, zone in enumerate(self.zones)}}}

    def live(self, zone, spot):
        return [each for each in self.soak.engines
                if each.zone == zone and getattr(each, "spot", False) == spot and each.state == "ready"]

    async def handle(self, request, _writer):
        body, check = request.json(), self.soak.check
        fence, holder = int(request.headers["x-rillwall-fence-token"]), request.headers["x-rillwall-lease-holder"]
        group = (body["zone"], body.get("spot", False))
        check("orders", self.holders.setdefault(fence, holder) == holder, f"two hosts use the fence {fence}")
        check("orders", fence == max(self.holders), f"{holder} orders with fence {fence} after {max(self.holders)}")
        wanted = body["target-groups"]
        before = self.unanswered.pop((fence, *group), wanted)
        check("orders", before == wanted, f"{group}: {wanted} follows {before}, which was not answered")
        stored = json.loads(self.soak.store.items[KEY][0]) if KEY in self.soak.store.items else {"orders": []}
        check("orders", any((row["zone"], row["spot"], row["count"]) == (*group, wanted) for row in stored["orders"]),
              f"{group}: {wanted} was ordered and is not in the store")
        chance = self.rng.random()
        if chance < 0.1:
            return answer(429 if chance < 0.05 else 503)
        if group[1] and time.monotonic() < self.none_until.get(group[0], 0) and wanted > len(self.live(*group)):
            return answer(409)
        self.accepted += 1
        self.apply(group, wanted)
        if chance > 0.9:
            self.unanswered[(fence, *group)] = wanted
            raise Cut
        return answer(200)

    def apply(self, group, wanted):
        self.targets[group] = wanted
        total = sum(self.targets.get((group[0], spot), len(self.live(group[0], spot))) for spot in (False, True))
        self.soak.check("orders", total <= MAX, f"{group}: {wanted} makes {total} replicas in the zone")
        live = self.live(*group)
        for _ in range(len(live), wanted):
            asyncio.create_task(self.boot(group))
        for engine in live[wanted:]:
            self.soak.check("idle", engine.running == 0, f"{engine.id} is ended with {engine.running} texts")
            self.ended += 1
            asyncio.create_task(self.leave(engine, 0.3))

    async def boot(self, group):
        await asyncio.sleep(BOOT_S)
        if self.soak.stopping or len(self.live(*group)) >= self.targets[group]:
            return  # another order came meanwhile
        engine = OrderedEngine(self.soak.store, self.rng, SERVICE, group[0],
                               {"model1": self.soak.newest_version}, self.soak.event_versions)
        engine.spot = group[1]
        await self.soak.start_replica(engine)
        self.soak.engines.append(engine)

    async def leave(self, engine, after):
        engine.state = "draining"
        engine.register()
        await asyncio.sleep(after)
        engine.server.stop()
        engine.proxy.stop()
        self.soak.store.revision += 1
        self.soak.store.remove(f"servers/{engine.id}")
        if engine in self.soak.engines:
            self.soak.engines.remove(engine)

    async def reclaim(self, zone):
        """Takes all revocable replicas of a zone away after a notice, and offers none for some time."""
        self.none_until[zone] = time.monotonic() + NONE_S
        engines = self.live(zone, True)
        self.reclaimed += len(engines)
        self.targets[(zone, True)] = 0
        for engine in engines:
            engine.leaves_at = time.monotonic() + NOTICE_S
        await asyncio.gather(*(self.leave(engine, NOTICE_S) for engine in engines))

    async def run(self):
        """Takes a zone's revocable replicas away every few seconds."""
        while not self.soak.stopping:
            await asyncio.sleep(self.rng.uniform(4, 9))
            await self.reclaim(self.rng.choice(self.zones))

    def conclude(self):
        self.soak.check("orders", self.accepted > 0, "nothing was ordered")
        print(f"scaling: {self.accepted} orders, {self.ended} ended, {self.reclaimed} taken away, "
              f"targets {self.targets}")
