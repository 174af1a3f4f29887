"""Trainers' steps while some model replicas hand out wrong bytes (garble).

Two trainers submit steps of 24 groups of 4 items, read them, end them when 90%
of the groups are complete or after 12 s, and name the next version. In the
trouble, some of the nine model replicas spoil 2 in 100 of their answers, for
five seconds at a time: eight bytes of one event are other, random bytes.

An item whose own answer was spoiled isn't judged. The check is LOST of
RULES.md: at the end of the day a batch submission can be read, and each result
that had been read comes again. Hosts in touch must not refuse that.
"""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import deployment2  # noqa: E402
import steps2  # noqa: E402
from steps2 import read  # noqa: E402

SHARE, OF_ANSWERS, WINDOW_S = 0.35, 0.02, 5.0
DAY_S, FINISH_S = 34.0, 10.0
WINDOWS = (4.0, 13.0, 22.0)  # when replicas begin to hand out wrong bytes


class Engine(steps2.Engine):
    """A model replica that spoils some of its answers for a time."""

    spoiled = {}  # item -> the wrong bytes that it was sent

    def __init__(self, deployment, zone):
        super().__init__(deployment, zone)
        self.garbles, self.spoils, self.rng = False, {}, random.Random()

    def begins(self, item, after, last):
        self.spoils.pop(item, None)
        if self.garbles and self.rng.random() < OF_ANSWERS:
            self.spoils[item] = self.rng.randint(after + 1, max(after + 1, last))

    def data_of(self, item, n):
        data = super().data_of(item, n)
        if self.spoils.get(item) != n:
            return data
        wrong = bytes(byte for byte in os.urandom(64) if byte not in b"\r\n")[:8]
        self.spoiled[item] = wrong.hex()
        self.deployment.record.line("wrong-bytes", replica=self.id, item=item, event=n, bytes=wrong.hex())
        return data[:24] + wrong + data[32:]


async def judge(trainer, lots, record):
    """The end of the day: the batch submissions are read from the start, again after each failure."""
    broken = []

    async def whole(lot):
        results, end, status, last = [], time.monotonic() + 15, None, None
        while time.monotonic() < end:
            status, count = await read(trainer, lot, results)
            last = status or last
            if status == 200 and count == 0 and len(results) >= len(lot.results):
                break  # nothing more is listed
            await asyncio.sleep(0.1)
        spoiled = [item["id"] for item in lot.items if item["id"] in Engine.spoiled]
        record.line("read-at-the-end", lot=lot.id, status=status, results=len(results), read_before=len(lot.results),
                    spoiled=len(spoiled))
        known = {row["id"]: row for row in lot.results}
        for row in results:
            if row["id"] in known and row["id"] not in spoiled and row != known[row["id"]]:
                broken.append(f"LOST: batch submission {lot.id} lists another result for item {row['id']}")
        if status != 200:
            broken.append(f"LOST: batch submission {lot.id}, {len(spoiled)} of whose {len(lot.items)} items were spoiled, "
                          f"can't be read from position {len(results)} on at the end of the day: for 15 s hosts in all "
                          f"zones answered {last}")
        elif len(results) < len(lot.results):
            broken.append(f"LOST: batch submission {lot.id}: {len(lot.results)} results had been read, and only "
                          f"{len(results)} come again at the end of the day")
    await asyncio.gather(*(whole(lot) for lot in lots))
    return broken


async def garble(record, engines):
    """Some replicas hand out wrong bytes, for some seconds at a time."""
    begun = time.monotonic()
    for at in WINDOWS:
        await asyncio.sleep(max(0.0, begun + at - time.monotonic()))
        chosen = random.sample(engines, round(SHARE * len(engines)))
        record.line("garble", replicas=",".join(each.id for each in chosen))
        for each in chosen:
            each.garbles = True
        await asyncio.sleep(WINDOW_S)
        for each in engines:
            each.garbles = False
        record.line("garble-ends")


async def case(record, trouble, holder):
    deployment, engines = await steps2.start(record, holder, Engine)
    lots, trouble_task = [], asyncio.create_task(garble(record, engines)) if trouble else None
    trainers = await steps2.train(deployment, lots, DAY_S)
    if trouble_task:
        await trouble_task
    await asyncio.sleep(FINISH_S)
    broken = await judge(trainers[0], lots, record)
    total = sum(len(lot.results) for lot in lots)
    record.line("sum", lots=len(lots), results_read=total, spoiled_items=len(Engine.spoiled))
    if not lots or total < 100:
        raise deployment2.CaseError("too few results were read")
    return broken


deployment2.main(case, FOLDER)
