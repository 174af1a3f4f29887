#!/usr/bin/env python3
"""Tests that a request which crashes replicas cannot take down a whole service.

The failure: a request that crashes every replica which runs it is retried by its client at
other hosts. Each host tries it at two replicas, so four replicas of a service crashed within
0.3 s, restarted after three seconds, and crashed again for a minute and a half, while other
callers were refused. Hosts forgot a request after each attempt of the client, did not share
what it had done at other hosts, and did not treat a lost response as a crashed replica.
The lost attempts can be recognized: they have the same digest of path, account and body at
all hosts, no attempt of the client exceeds the attempts that its route allows, and each replica
refuses connections afterwards.

usage: crashing.py --binary PATH [--keep DIR]
Ends with "N passed, N failed".
"""

import argparse
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "platform"))
from soak import CONTACT_S, CRASHES, HOST, MORE_RUNS, Soak, conclude, take_addresses  # noqa: E402
from standins import CRASHING  # noqa: E402
from web import call  # noqa: E402

SEED = 240  # determines the addresses; no other random choice affects the result
CHECKS = ["bounded", "others", "cleared"]


class Scenario(Soak):
    """The hosts and replicas of the soak test without its random faults."""

    async def ask(self, node, body):
        """Sends a request; returns status, headers and duration in seconds."""
        begun = time.monotonic()
        name = f"{self.rng.getrandbits(64):016x}"
        got = await call(node.address(), "POST", "/status/a", {
            "Host": HOST, "X-Rillwall-Request-Id": name, "X-Rillwall-Deadline-Ms": "1500"}, body, 4)
        return (got[0], got[1], time.monotonic() - begun) if got else (0, {}, time.monotonic() - begun)

    def crashed_so_far(self):
        return len(self.crashes.get(("/status/a", CRASHING), []))

    async def until(self, condition, limit):
        end = time.monotonic() + limit
        while not condition() and time.monotonic() < end:
            await asyncio.sleep(0.05)
        return condition()

    async def ask_all(self, what):
        """Sends the crashing request to each host once all replicas are back; none may run it."""
        await self.until(lambda: len(self.services) == 3, 5)
        await asyncio.sleep(0.7)  # until the hosts know that the replicas are back
        before = self.crashed_so_far()
        answers = [await self.ask(node, CRASHING) for node in self.entries]
        self.check("bounded", self.crashed_so_far() == before, f"{what}: {self.crashed_so_far() - before} more replicas crashed")
        return answers

    async def others(self, when):
        served = [(await self.ask(node, b"another one"))[0] == 200 for node in self.entries]
        self.check("others", all(served), f"{when}: {served.count(False)} of {len(served)} other requests are not served")

    async def crash_three(self):
        for turn in range(30):
            if self.crashed_so_far() >= CRASHES:
                return
            await self.ask(self.entries[turn % len(self.entries)], CRASHING)
            await asyncio.sleep(0.3)

    async def go(self):
        try:
            await self.play()
        finally:
            for node in self.nodes:
                await node.end(signal.SIGKILL)

    async def play(self):
        await self.build()
        self.check("others", await self.all_ready(15), "not all hosts became ready")
        await asyncio.sleep(1)
        await self.crash_three()
        await asyncio.sleep(CONTACT_S + 0.5)
        at_bound = self.crashed_so_far()
        answers = await self.ask_all("after the third")
        self.check("bounded", all(status == 503 and float(headers.get("retry-after", 0)) > 1
                                  for status, headers, _ in answers),
                   f"not refused with 503 and a Retry-After above 1 s: {[answer[0] for answer in answers]}")
        await self.others("after the third")
        for node in self.nodes[len(self.entries):]:
            await node.restart(signal.SIGKILL)  # one of these hosts is the lead
        await asyncio.sleep(CONTACT_S)
        await self.ask_all("after the candidates for the lead were killed")
        await self.others("after the candidates for the lead were killed")
        await asyncio.gather(*(node.restart(signal.SIGKILL) for node in self.nodes))
        self.check("others", await self.all_ready(12), "not all hosts became ready after the restart")
        await self.ask_all("after all hosts were killed")
        await asyncio.sleep(CONTACT_S)
        await self.others("after all hosts were killed")
        self.check("bounded", self.crashed_so_far() - at_bound <= MORE_RUNS,
                   f"{self.crashed_so_far()} replicas crashed, {self.crashed_so_far() - at_bound} of them after the bound was reached")
        await self.clear()

    async def clear(self):
        """Clears the suspect request as an operator; then it must run again."""
        verb = [self.args.binary, "suspects", "--node", f"{self.entries[0].ip}:7720"]
        listed = await self.verb(*verb)
        words = listed.split()
        held = [words[i] for i in range(len(words)) if len(words[i]) == 32]
        self.check("cleared", len(held) == 1, f"suspects lists {listed!r}")
        for digest in held:
            await self.verb(*verb, "--clear", digest)
        await asyncio.sleep(CONTACT_S)
        before = self.crashed_so_far()
        await self.ask(self.entries[-1], CRASHING)
        self.check("cleared", self.crashed_so_far() > before, "a cleared request is still refused")

    @staticmethod
    async def verb(*words):
        process = await asyncio.create_subprocess_exec(*words, stdout=asyncio.subprocess.PIPE,
                                                       stderr=asyncio.subprocess.STDOUT)
        return (await process.communicate())[0].decode()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--binary", required=True)
    parser.add_argument("--keep", help="folder in which the logs are kept")
    args = parser.parse_args()
    args.seed, args.entries, args.leads, args.services, args.faults = SEED, 3, 3, 3, "none"
    args.handover = args.surge = args.scaling = args.storms = args.ends = args.leaves = args.stops = args.long = False
    lock = take_addresses(SEED)
    scenario = Scenario(args)
    asyncio.run(scenario.go())
    lock.close()
    conclude(scenario, "crashing", CHECKS)


if __name__ == "__main__":
    main()
