"""Replicas that end under answers without a length, for the soak.

Each round submits a step with many texts. Beside it clients ask for plain bodies, which come in parts, and for
streams. Some or all answers have no length and end with their connection. Replicas are ended as a kill does it
(in order), by a reset, or so that another one is at once at their address. In the last round they end by chance
under the same few items, before the first event, and under the call for scores that all items have in common.
The checks `whole`, `text`, `truth` and `once` of the soak hold, and:

  streams   a stream that ends as complete has all its events
  live      while no replica ends, each plain request and some streams are served (loads of weights cut others),
            and no whole text is sent to an engine again
  complete  a step that was open during the trouble is completed once it is over
  released  no host holds a request any more
  owed      an item under which engines ended is at an engine again within its pause
"""

import asyncio

from standins import Engine, Replica, Service, events_of, text_of
from storms import Storms
from web import call

CHECKS = ["streams", "live", "complete", "released", "owed"]
PLAIN_CLIENTS, STREAM_CLIENTS = 4, 4
PARTS = 8  # of a plain body
LIVE_S = 4
ENDS, END_PAUSE_S = 15, 0.4  # of a round
SERVICE_TURNS = 4  # a service ends at each fourth of them
ENDED_AT_ONCE = 2  # engines
CHANCE_ENDS = 7  # of engines under one item; pauses between them take some 3 s
CHANCE_ITEMS = 3
SCORER_ENDS = 3
LONGEST_PAUSE_S, SLACK_S = 2.0, 1.0  # CrashPacer::kLongestPause; a tick of the owner and the load of the machine


class Ends(Storms):
    """Makes the rounds, and runs the clients beside them."""

    def __init__(self, soak):
        super().__init__(soak)
        self.ways, self.unserved, self.streams = [], 0, 0
        Service.parts = PARTS

    async def run(self):
        clients = [asyncio.create_task(self.plain_client()) for _ in range(PLAIN_CLIENTS)]
        clients += [asyncio.create_task(self.stream_client()) for _ in range(STREAM_CLIENTS)]
        await self.live()
        # (reset, another replica is at the address at once), in turn; one answer in so many has no length
        rounds = [([(False, False)], 1), ([(False, False)], 3), ([(False, True)], 1), ([(False, True)], 17),
                  ([(False, False), (True, False), (False, True), (True, True)], 1)]
        for number, (self.ways, unframed) in enumerate(rounds):
            self.answer_without_length(unframed)
            await self.round(number, self.ends)
        self.answer_without_length(3)
        await self.chance()
        self.answer_without_length(0)
        self.soak.stopping_ends = True
        await asyncio.gather(*clients)

    @staticmethod
    def answer_without_length(one_in):
        Engine.unframed = Service.unframed = one_in

    async def live(self):
        soak = self.soak
        self.answer_without_length(1)
        soak.quiet = True  # no new version, whose loads cut texts
        while soak.trainer_busy:
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)  # until the last version is loaded
        self.unserved = self.streams = 0
        Engine.empty_runs.clear()
        step = soak.make_step(1900)
        work = asyncio.create_task(soak.run_step(1900, 20, step))
        await asyncio.sleep(LIVE_S)
        soak.check("live", self.unserved == 0, f"{self.unserved} plain requests were not served")
        soak.check("live", self.streams > 0, "no stream was served")
        soak.check("live", await work, "the step is not completed")
        soak.check("live", not Engine.empty_runs, f"texts {Engine.empty_runs} were whole and sent to an engine again")
        soak.quiet = False

    async def ends(self):
        """Ends two engines and, less often, one plain service, again and again. All plain clients send the same
        request; three ends under it without an answer in between would hold it."""
        soak, work, turn = self.soak, [], 0
        for number in range(ENDS):
            services = 1 if number % SERVICE_TURNS == 0 else 0
            for kind, count in ((soak.engines, ENDED_AT_ONCE), (soak.services, services)):
                for replica in soak.rng.sample(kind, min(count, len(kind) - 1)):
                    reset, at_once = self.ways[turn % len(self.ways)]
                    work.append(self.end(kind, replica, reset, at_once))
                    turn += 1
            await asyncio.sleep(END_PAUSE_S)
        await asyncio.gather(*work)

    async def chance(self):
        """Engines end under a few good items, one after the other, and services under the call for scores."""
        soak = self.soak
        step = soak.make_step(1950) | {"target-groups": 8}
        victims = [item["id"] for item in step["items"][::9]][:CHANCE_ITEMS]
        Replica.on_end = self.end_one
        Replica.ends_under = {victim: CHANCE_ENDS for victim in victims} | {"/status/score": SCORER_ENDS}
        whole = await soak.run_step(1950, 40, step)
        soak.check("complete", whole, f"chance: the step is not completed; ends left: {Replica.ends_under}")
        soak.check("complete", not any(Replica.ends_under.values()), f"ends left: {Replica.ends_under}")
        Replica.ends_under = {}
        for victim in victims:
            runs = sorted(Engine.item_runs.get(victim, []))
            gaps = [begun - ended for (_, ended), (begun, _) in zip(runs, runs[1:])]
            soak.check("owed", len(runs) > CHANCE_ENDS and max(gaps) <= LONGEST_PAUSE_S + SLACK_S,
                       f"item {victim} had {len(runs)} runs, {[round(gap, 2) for gap in gaps]} s apart")
        await self.check_released("chance")

    def end_one(self, replica):
        """Ends a replica in the middle of a request, in order or by a reset."""
        kind = self.soak.engines if isinstance(replica, Engine) else self.soak.services
        if replica in kind:
            self.end(kind, replica, reset=self.soak.rng.random() < 0.5)

    # Clients.

    async def plain_client(self):
        soak = self.soak
        while not soak.stopping_ends:
            self.unserved += not await soak.request("status", f"{soak.rng.getrandbits(64):016x}")
            await asyncio.sleep(soak.rng.uniform(0.01, 0.05))

    async def stream_client(self):
        soak = self.soak
        while not soak.stopping_ends:
            name = f"{soak.rng.getrandbits(64):016x}"
            got = await call(soak.rng.choice(soak.entries).address(), "POST", "/stream/a", {
                "Host": "soak.example", "X-Rillwall-Request-Id": name, "X-Rillwall-Deadline-Ms": "8000",
                "X-Rillwall-Model": "model1", "X-Rillwall-Token-Usage": f"10,{events_of(name)}"}, b"x", 10)
            if got is not None and got[0] == 200:
                self.streams += 1
                lines = got[2].decode().split("\n")
                data = "\n".join(line[6:] for line in lines if line.startswith("data: "))
                soak.check("streams", data == text_of(name),
                           f"stream {name} ended as complete with {data.count(name)} of {events_of(name)} events")
            await asyncio.sleep(soak.rng.uniform(0.01, 0.1))
