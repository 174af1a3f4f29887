"""A surge of requests for the soak: plain services with a queue that report four load figures, calls for
more than their capacity, and the checks of admission control.

  refusals   a request of the surge that is refused is refused soon, with a time to return, and did not run
  rejected   replicas reject few of the attempts, because hosts do not send what has no capacity
  served     a part of the capacity is served in time during the surge
  recovered  a second after the surge, requests are served again
"""

import asyncio
import time

from standins import Service
from web import answer, call

CHECKS = ["refusals", "rejected", "served", "recovered"]
SLOTS, QUEUE, WORK_S = 2, 8, 0.05
TARGET_S, TIMEOUT_S = 0.15, 1.5
HOLD_S = TARGET_S / 4
SLACK_S = 0.4  # for the processes and stand-ins that share one machine
MAX_REJECTED = 0.04
CALLS_PER_S, SURGE_S, SLOW_PERCENT = 200, 4, 500


class LoadedService(Service):
    """A plain service with a queue, which reports how long work takes at the moment."""

    def __init__(self, store, rng, service, zone, runs):
        super().__init__(store, rng, service, zone, runs)
        self.slots, self.percent, self.waiting, self.rejected = SLOTS, 100, 0, 0
        self.free = asyncio.Semaphore(SLOTS)

    def load(self):
        return {"X_Rillwall_Replica_Load": f"{self.running},{self.waiting},{self.slots},{self.percent}",
                "X_Rillwall_Replica_Id": self.id}

    async def handle(self, request, _writer):
        if request.method == "GET" and request.path == "/healthz":
            return answer(200, **self.load())
        name = request.headers.get("x-rillwall-request-id", "")
        if request.headers.get("x-rillwall-expect-instance", self.id) != self.id:
            return answer(421, X_Rillwall_Request_Id=name, **self.load())
        if self.waiting >= QUEUE:
            self.rejected += 1
            return answer(503, X_Rillwall_Not_Executed=1, X_Rillwall_Request_Id=name, **self.load())
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs[name] = self.runs.get(name, 0) + 1
            await self.crash_on(request)
            await asyncio.sleep(WORK_S * self.percent / 100)
        finally:
            self.running -= 1
            self.free.release()
        return answer(200, b"body of " + name.encode(), X_Rillwall_Request_Id=name,
                      X_Rillwall_Server_Stamp="stamp-" + name, **self.load())


class Surge:
    """One surge in a soak; some of the replicas become slow halfway."""

    def __init__(self, soak, host):
        self.soak, self.host = soak, host
        self.calls = self.returns = self.in_time = self.late = self.refused = 0

    async def attempt(self, left):
        """Sends one attempt. Returns its status and the time to return, or None."""
        soak, name = self.soak, f"{self.soak.rng.getrandbits(64):016x}"
        begun = time.monotonic()
        got = await call(soak.rng.choice(soak.entries).address(), "POST", "/status/surge", {
            "Host": self.host, "X-Rillwall-Request-Id": name, "X-Rillwall-Deadline-Ms": str(int(left * 1000))},
            b"x" * 100, left + 1)
        took = time.monotonic() - begun
        if got is None:
            return None
        status, headers, _ = got
        if status == 503:
            self.refused += 1
            soak.refused.add(name)  # the soak checks at its end that it has not run later either
            soak.check("refusals", name not in soak.runs, f"request {name} was refused and ran")
            soak.check("refusals", took <= HOLD_S + SLACK_S, f"request {name} was refused after {took:.3f} s")
            soak.check("refusals", 0 < float(headers.get("retry-after", 0)) <= left / 3 + 0.001,
                       f"request {name} names {headers.get('retry-after')} s with {left:.3f} s left")
        return status, float(headers.get("retry-after", 0))

    async def caller(self):
        """Makes one call, with one return at the time named."""
        begun = time.monotonic()
        self.calls += 1
        got = await self.attempt(TIMEOUT_S)
        if got and got[0] == 503:
            await asyncio.sleep(got[1])
            self.returns += 1
            got = await self.attempt(TIMEOUT_S - (time.monotonic() - begun))
        if got and got[0] == 200:
            in_time = time.monotonic() - begun <= TARGET_S + SLACK_S
            self.in_time += in_time
            self.late += not in_time

    async def run(self):
        soak = self.soak
        replicas = list(soak.services)
        calls, begun = [], time.monotonic()
        while (now := time.monotonic() - begun) < SURGE_S:
            while len(calls) < now * CALLS_PER_S:
                calls.append(asyncio.create_task(self.caller()))
            if now > SURGE_S / 2:
                replicas[0].percent = SLOW_PERCENT
            await asyncio.sleep(0.005)
        await asyncio.sleep(1)
        served = [await soak.request("status", f"{soak.rng.getrandbits(64):016x}") for _ in range(10)]
        soak.check("recovered", all(served), f"{served.count(False)} of 10 requests are not served after the surge")
        await asyncio.gather(*calls)
        replicas[0].percent = 100
        # Without the slow replica, during the whole surge.
        capacity = SURGE_S * (len(replicas) - 1) * SLOTS / WORK_S
        rejected, attempts = sum(each.rejected for each in replicas), self.calls + self.returns
        soak.check("rejected", rejected <= attempts * MAX_REJECTED,
                   f"replicas rejected {rejected} of {attempts} attempts")
        soak.check("served", self.in_time >= capacity / 2,
                   f"{self.in_time} of {self.calls} calls were served in time, the capacity was {capacity:.0f}")
        print(f"surge: {self.calls} calls, {self.in_time} in time, {self.late} late, {self.refused} refusals, "
              f"{rejected} rejected by replicas", flush=True)
