"""Storms of crashes, changes of the rollout route, and an item that crashes engines, for the soak.

Each round submits a step with many texts and plays one kind of trouble while it runs: storms, in which
several engines end at once, again and again, and come back under new ids; racks, in which all replicas of a
zone end, or all plain services; the same while hosts are killed or stopped; and a rollout route that is
removed, moved to another service and brought back, while hosts are killed or stopped. No request crashes a
replica there, so that the following holds:

  complete  a step that was open during the trouble is completed once it is over
  released  no host holds a request any more

The last round has an item that crashes each engine one to three events further on, with hosts intact:

  creeping  it is owed, so that it runs again within its pause, and it crashes no more engines than its pauses allow
"""

import asyncio
import base64
import json
import signal

from standins import CREEPING, Engine, events_of
from web import Proxy, call

CHECKS = ["complete", "released", "creeping"]
CREEP_S = 15
# CrashPacer: the pauses after the first crashes take 3.2 s, and each later one LONGEST_PAUSE_S.
FIRST_CRASHES, LONGEST_PAUSE_S = 7, 2.0
SLACK_S = 1.5  # of a run that crashes after some events, a tick of the owner, and the load of the machine
ENGINES, OTHER_ENGINES = 10, 3
EVENT_S = 0.04
STEP_PARTS = 6  # submissions of the soak's trainer that make one step
STORMS, STORM_PAUSE_S, STORM_SIZE, DOWN_S = 20, 0.3, 4, 0.7
RACKS, RACK_PAUSE_S = 4, 1.2
ENTRY_S = 1.2  # the entry of an ended replica stays for this much longer than it takes to come back
CALM_S = 20  # for a step to be completed after the trouble
KNOWN_S = 3  # for all hosts to know the same
ROUTES = [None, "other", None, "engine", "other", "engine"]
ROUTE_PAUSE_S = 1.0


class Storms:
    """Makes the rounds, and checks the steps and the held requests after each of them."""

    def __init__(self, soak):
        self.soak, self.others = soak, []

    def engine(self, service, zone):
        soak = self.soak
        engine = Engine(soak.store, soak.rng, service, zone, {"model1": soak.newest_version}, soak.event_versions)
        engine.event_s = EVENT_S
        return engine

    async def start(self):
        """Replaces the engines of the soak by more and slower ones, and adds those of another service."""
        soak = self.soak
        for engine in soak.engines:
            engine.event_s = EVENT_S
        zones = [engine.zone for engine in soak.engines]
        for number in range(len(soak.engines), ENGINES):
            await self.add(soak.engines, self.engine("engine", zones[number % 3]))
        for number in range(OTHER_ENGINES):
            await self.add(self.others, self.engine("other", zones[number % 3]))

    async def add(self, kind, replica):
        await self.soak.start_replica(replica)
        kind.append(replica)

    async def run(self):
        rounds = [self.storms, self.racks, self.storms_and_hosts, self.routes_and_hosts]
        for number, trouble in enumerate(rounds):
            await self.round(number, trouble)
        await self.creeping()

    async def creeping(self):
        soak = self.soak
        step = soak.make_step(3000)
        item = step["items"][-1]
        while events_of(item["id"]) < 50:
            item["id"] = f"{soak.rng.getrandbits(64):016x}"
        body = CREEPING + item["id"].encode()
        item["body"] = base64.b64encode(body).decode()
        work = asyncio.create_task(soak.run_step(3000, CREEP_S, step | {"target-groups": 8}))
        await asyncio.sleep(CREEP_S)
        times = [at for at, _ in soak.crashes.pop((item["path"], body), [])]
        most = FIRST_CRASHES + (CREEP_S - 3.2) / LONGEST_PAUSE_S
        soak.check("creeping", 0 < len(times) <= most, f"the item crashed {len(times)} engines, {most} at the most")
        gaps = [after - before for before, after in zip(times, times[1:])]
        soak.check("creeping", len(gaps) > 2 and max(gaps) <= LONGEST_PAUSE_S + SLACK_S,
                   f"the item crashed engines {[round(gap, 2) for gap in gaps]} s apart")
        await work

    async def round(self, number, trouble):
        soak = self.soak
        parts = [soak.make_step(2000 + STEP_PARTS * number + part) for part in range(STEP_PARTS)]
        step = parts[0] | {"items": [item for part in parts for item in part["items"]],
                           "target-groups": sum(len({item["group"] for item in part["items"]}) for part in parts)}
        work = asyncio.create_task(soak.run_step(2000 + number, 60, step))
        await asyncio.sleep(0.5)
        await trouble()
        done, _ = await asyncio.wait({work}, timeout=CALM_S)
        soak.check("complete", bool(done) and work.result(),
                   f"{trouble.__name__}: the step is not completed {CALM_S} s after the trouble")
        await asyncio.sleep(KNOWN_S)
        await self.check_released(trouble.__name__)
        await work

    async def check_released(self, name):
        for node in self.soak.nodes:
            got = await call((node.ip, 7720), "GET", "/node/suspects", limit=4)
            held = [row for row in json.loads(got[2])["suspects"] if row["held"]] if got and got[0] == 200 else None
            self.soak.check("released", held == [], f"{name}: {node.name} holds {held}")

    # Ends of replicas.

    def end(self, kind, replica, reset=False, at_once=False):
        """Ends a replica. Another one starts at its address, if need be at once; the entry of the old one goes
        later."""
        kind.remove(replica)
        replica.server.stop(reset)
        replica.proxy.stop(reset)
        return asyncio.create_task(self.start_again(kind, replica, 0 if at_once else DOWN_S))

    async def start_again(self, kind, old, pause):
        soak = self.soak
        await asyncio.sleep(pause)
        new = soak.replacement(old, kind)
        if isinstance(new, Engine):
            new.service, new.event_s = old.service, EVENT_S
        # Connections that were being opened when the old one ended must not reach the new one.
        new.proxy = await self.proxy_at(old.proxy.port, new.server)
        new.register()
        kind.append(new)
        await asyncio.sleep(ENTRY_S)
        soak.store.revision += 1
        soak.store.remove(f"servers/{old.id}")

    @staticmethod
    async def proxy_at(port, server):
        await server.start()
        proxy = Proxy(server.port)
        proxy.port = port
        return await proxy.start()

    async def storms(self):
        soak, work = self.soak, []
        for _ in range(STORMS):
            for engine in soak.rng.sample(soak.engines, min(STORM_SIZE, len(soak.engines))):
                work.append(self.end(soak.engines, engine))
            await asyncio.sleep(STORM_PAUSE_S)
        await asyncio.gather(*work)

    async def racks(self):
        """All replicas of a zone, and then all plain services, end at once."""
        soak, work = self.soak, []
        for number in range(RACKS):
            zone = soak.rng.choice([node.zone for node in soak.nodes])
            for kind in (soak.engines, soak.services):
                whole = kind is soak.services and number % 2 == 1
                for replica in [each for each in kind if whole or each.zone == zone]:
                    work.append(self.end(kind, replica))
            await asyncio.sleep(RACK_PAUSE_S)
        await asyncio.gather(*work)

    # Hosts.

    async def hosts(self, until):
        """Kills and stops hosts, one after the other, until the other trouble is over."""
        rng = self.soak.rng
        while not until.done():
            node = rng.choice(self.soak.nodes)
            await node.restart(rng.choice([signal.SIGKILL, signal.SIGTERM]), rng.uniform(0, 0.6))
            await asyncio.sleep(rng.uniform(0, 0.8))

    async def storms_and_hosts(self):
        trouble = asyncio.create_task(self.storms())
        await asyncio.gather(trouble, self.hosts(trouble), self.hosts(trouble))

    async def routes_and_hosts(self):
        trouble = asyncio.create_task(self.routes())
        await asyncio.gather(trouble, self.hosts(trouble), self.hosts(trouble))

    async def routes(self):
        soak = self.soak
        for service in ROUTES:
            soak.step_service = service
            soak.configure()
            await asyncio.sleep(soak.rng.uniform(0.3, 2 * ROUTE_PAUSE_S))
