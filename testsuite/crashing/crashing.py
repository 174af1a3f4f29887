#!/usr/bin/env python3
"""A request that ends each replica which begins to run it, sent again at all hosts.

Seen: all four replicas of a plain service ended within 0.3 s, were back after three seconds,
and ended again, for a minute and a half; callers beside it were refused in between.
How it came about: one status check ended the two replicas that a host may try for it. Its
client sent it again to another host, which tried two more; later it came anew, at any host.
Cause: what a host knew of a request ended with one attempt of its client. No host knew what
the request had done before, there or at another host, nor that a lost answer had been the
end of a replica.
Shown by: the lost tries bear one digest of path, account and body at all hosts, no attempt
has more of them than its route allows, and each replica refuses connections after its try.

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

SEED = 240  # of addresses; nothing else is drawn that matters
CHECKS = ["bounded", "others", "cleared"]


class Scenario(Soak):
    """The soak's world without its faults."""

    async def ask(self, node, body):
        """Returns status, headers and how long the answer took."""
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
        """The request at each host, when all replicas are back: nothing of it may run."""
        await self.until(lambda: len(self.services) == 3, 5)
        await asyncio.sleep(0.7)  # their entries are told
        before = self.crashed_so_far()
        answers = [await self.ask(node, CRASHING) for node in self.entries]
        self.check("bounded", self.crashed_so_far() == before, f"{what}: {self.crashed_so_far() - before} more replicas ended")
        return answers

    async def others(self, when):
        served = [(await self.ask(node, b"another one"))[0] == 200 for node in self.entries]
        self.check("others", all(served), f"{when}: {served.count(False)} of {len(served)} others are not served")

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
                   f"not refused with a time to come back: {[answer[0] for answer in answers]}")
        await self.others("after the third")
        for node in self.nodes[len(self.entries):]:
            await node.restart(signal.SIGKILL)  # one of them leads
        await asyncio.sleep(CONTACT_S)
        await self.ask_all("after the leads were killed")
        await self.others("after the leads were killed")
        await asyncio.gather(*(node.restart(signal.SIGKILL) for node in self.nodes))
        self.check("others", await self.all_ready(12), "not all hosts are ready again")
        await self.ask_all("after all hosts were killed")
        await asyncio.sleep(CONTACT_S)
        await self.others("after all hosts were killed")
        self.check("bounded", self.crashed_so_far() - at_bound <= MORE_RUNS,
                   f"{self.crashed_so_far()} replicas ended, {self.crashed_so_far() - at_bound} of them late")
        await self.clear()

    async def clear(self):
        """An operator who knows better has it run again."""
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
        self.check("cleared", self.crashed_so_far() > before, "what an operator cleared is still refused")

    @staticmethod
    async def verb(*words):
        process = await asyncio.create_subprocess_exec(*words, stdout=asyncio.subprocess.PIPE,
                                                       stderr=asyncio.subprocess.STDOUT)
        return (await process.communicate())[0].decode()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--binary", required=True)
    parser.add_argument("--keep", help="folder for the logs")
    args = parser.parse_args()
    args.seed, args.entries, args.leads, args.services, args.faults = SEED, 3, 3, 3, "none"
    lock = take_addresses(SEED)
    scenario = Scenario(args)
    asyncio.run(scenario.go())
    lock.close()
    conclude(scenario, "crashing", CHECKS)


if __name__ == "__main__":
    main()
