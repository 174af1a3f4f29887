"""A replica sends an answer a second time, late: is a non-idempotent request run at most once?"""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deployment as d  # noqa: E402
from standins import Engine, Service  # noqa: E402
from web import answer  # noqa: E402


class RepeatingService(Service):
    """A plain service that is full for a moment, and that sends an extra answer late: where the next answer on
    the channel is expected."""

    case = None
    full = False

    def __init__(self, *args):
        super().__init__(*args)
        self.last = {}

    async def handle(self, request, writer):
        name = request.headers.get("x-rillwall-request-id", "")
        if writer in self.last and d.TROUBLE and self.rng.random() < 0.06:
            extra, of = self.last[writer]
            self.case.note(f"{self.id} sends its answer to an earlier request {of} a second time")
            writer.write(extra)
        self.last.pop(writer, None)
        if request.headers.get("x-rillwall-expect-instance", self.id) != self.id:
            return answer(421, X_Rillwall_Request_Id=name)
        if RepeatingService.full:
            out = answer(503, X_Rillwall_Not_Executed=1, X_Rillwall_Request_Id=name)
            self.case.note(f"{self.id} refuses {name}: full")
            self.last[writer] = (out, name)
            return out
        self.runs[name] = self.runs.get(name, 0) + 1
        self.case.note(f"{self.id} runs {name}")
        await asyncio.sleep(0.03)
        return answer(200, b"body of " + name.encode(), X_Rillwall_Request_Id=name,
                      X_Rillwall_Server_Stamp="stamp-" + name)


async def run(case):
    rng, runs = random.Random(1), {}
    RepeatingService.case = case
    services = [RepeatingService(case.store, rng, "plain", zone, runs) for zone in d.ZONES]
    await case.start(services, d.configuration())
    await asyncio.sleep(2)
    for number in range(300):
        name = f"{rng.getrandbits(64):016x}"
        RepeatingService.full = True
        asyncio.get_running_loop().call_later(0.02, setattr, RepeatingService, "full", False)
        got = await case.call(case.entries[number % 3], "POST", "/charge/a", {
            "X-Rillwall-Request-Id": name, "X-Rillwall-Deadline-Ms": "1500"}, b"x" * 100, 4)
        await asyncio.sleep(0.06)
        count = runs.get(name, 0)
        if count > 1:
            case.breaks(f"TWICE: non-idempotent request {name} ran {count} times")
        if got is not None and got[0] in (408, 421, 429, 503) and count:
            case.breaks(f"REFUSED: request {name} was answered {got[0]} and ran")
    await asyncio.sleep(1)


d.main(__file__, run)
