"""Hand-over of steps, for the soak: the lead changes while the owner of a running step lives.

Each round submits a step with many texts and changes the lead while complete texts are only in the
owner's memory. In turn, the store is away until the leases lapse, and answers one host a moment earlier
than the old lead and the others; or the lead is told to stop. Texts that were complete and that an engine
is asked for again are counted.
"""

import asyncio
import json
import signal

OUTAGE_S = 6.0
LATER_S = 0.7  # the store answers all but one host this much later
STEP_PARTS = 6  # submissions of the soak's trainer that make one step
FIRST_TEXTS = 50  # of the 144 texts of a step, complete when the lead changes
ROUNDS = 4
MAX_SHARE = 0.01
LEAD_KEY = "rillwall/lead"


class Handover:
    """Makes the rounds and counts texts."""

    def __init__(self, soak):
        self.soak, self.complete, self.again, self.changes = soak, set(), set(), 0

    def route(self, route):
        """Returns a rollout route of another priority, which turns the hand-over on."""
        return route("r4", "/urgent/", "rollout", "engine", **{"due-ms": 7500, "max-wait-s": 60, "priority": 0})

    def watch(self, engine):
        """Records which texts an engine completes, and which complete ones it is asked for again."""
        stream = engine.stream

        async def recorded(request, writer):
            name = request.headers["x-rillwall-request-id"]
            if name in self.complete and "last-event-id" not in request.headers:
                self.again.add(name)
            await stream(request, writer)
            self.complete.add(name)
        engine.stream = recorded

    def lead(self):
        """Returns the name of the lead, or None."""
        item = self.soak.store.items.get(LEAD_KEY)
        return json.loads(item[0])["name"] if item else None

    async def run(self):
        for engine in self.soak.engines:
            self.watch(engine)
        for number in range(ROUNDS):
            await self.round(number)
        soak = self.soak
        soak.check("handover", self.changes > 0, "the lead changed in no round")
        soak.check("handover", len(self.again) <= MAX_SHARE * len(self.complete),
                   f"{len(self.again)} of {len(self.complete)} complete texts were generated again")
        print(f"soak: the lead changed in {self.changes} of {ROUNDS} rounds; {len(self.again)} of "
              f"{len(self.complete)} complete texts were generated again")

    async def round(self, number):
        soak = self.soak
        parts = [soak.make_step(1000 + STEP_PARTS * number + part) for part in range(STEP_PARTS)]
        step = parts[0] | {"items": [item for part in parts for item in part["items"]],
                           "target-groups": sum(part["target-groups"] for part in parts)}
        work = asyncio.create_task(soak.run_step(1000 + number, 25, step))
        items = {item["id"] for item in step["items"]}
        while len(items & self.complete) < FIRST_TEXTS and not work.done():
            await asyncio.sleep(0.02)
        before = self.lead()
        node = next((each for each in soak.nodes if each.name == before), None)
        if node:
            await (self.outage(node) if number % 2 == 0 else node.restart(signal.SIGTERM))
        soak.check("handover", await work, f"the step of round {number} was not completed")
        self.changes += self.lead() != before

    async def outage(self, node):
        """The store is away until the leases lapse."""
        successor = next(each for each in self.soak.nodes if not each.entry and each is not node)
        later = [each for each in self.soak.nodes if each is not successor]
        self.soak.store.mode = "busy"
        await asyncio.sleep(OUTAGE_S)
        for each in later:
            each.proxy.set("refuse")
        self.soak.store.mode = "ok"
        await asyncio.sleep(LATER_S)
        for each in later:
            each.proxy.set("pass")
