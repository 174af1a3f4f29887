#!/usr/bin/env python3
"""Randomized fault soak of rillwall on the users' platform; without faults, a plain test case.

Runs `rillwall serve` processes against stand-ins for the platform on loopback,
injects faults from outside (signals, proxies, faults of the store and of the
replicas) by a seeded schedule, beside entries of the registry that describe no replica
(odd.py), and checks what clients and replicas see:
  whole      a 2xx answer is the complete answer of a replica to this request
  truth      a request that was answered 429 or 503 did not run and does not run later
  once       a non-idempotent request runs at most once
  positions  a result that was read stays at its position, on every node
  text       a completed text is complete and in order, and its score is the scorer's
  labels     each version that a text names generated one of its events, and none is too old
  end        nothing more of a step runs after its end
  kept       every accepted step can be read on every node after all faults
  crashes    once three replicas have crashed under a caller's request, hosts without a recent fault send
             it to few more replicas; an item that crashes replicas is owed and tried again, but replicas
             crash under it no faster than its pauses allow
  recovers   requests and a new step are served after all faults
  processes  no process ends by itself
  handover   with --handover: after a change of the lead, complete texts are not generated again
  orders     with --scaling: orders keep the platform's rules
  idle       with --scaling: no replica is ended that has work
  complete, released   with --storms: see storms.py
  streams, live, complete, released   with --ends: see ends.py
  left, served   with --leaves: see leaves.py
  cut, unanswered, refused, stops, started   with --stops: see stops.py
  late       with --long: see stops.py

usage: soak.py --binary PATH [--seed N] [--seconds S] [--entries N] [--leads N] [--services N]
               [--faults none|all|NAME,...] [--handover] [--surge] [--scaling] [--storms]
               [--ends] [--leaves] [--stops [--long]] [--keep DIR]
Ends with "N passed, N failed". The logs of a failed run stay in its folder.
"""

import argparse
import asyncio
import base64
import fcntl
import json
import os
import pathlib
import random
import shutil
import signal
import tempfile
import time

import odd
from ends import CHECKS as END_CHECKS, Ends
from handover import Handover
from leaves import CHECKS as LEAVE_CHECKS, Leaves, LeavingEngine, LeavingService
from scaling import Cloud
from standins import CRASHING, Engine, Service, Store, events_of, text_of
from stops import CHECKS as STOP_CHECKS, LONG_ROUTE, SlowEngine, SlowService, Stops
from storms import CHECKS as STORM_CHECKS, Storms
from surge import CHECKS as SURGE_CHECKS, LoadedService, Surge
from web import Proxy, call

ADDRESS_WAIT_S = 120  # a soak of 15 s takes some 25 s in total
ZONES = ["z1", "z2", "z3"]
MODEL = "model1"
HOST = "soak.example"
GRACE_S = 8
CONTACT_S = 3  # a host without a fault for this long must know what the other hosts know
CRASHES, MORE_RUNS = 3, 3  # replicas that may crash under a request, and further ones by such hosts
PACED_CRASHES, LEAST_PAUSE_S = 7, 1.5  # after so many crashes, an item pauses for 2 s (CrashPacer)
CALM_FAULTS = {"crash", "replica", "replace", "replica_path", "config", "reload"}  # hosts and store stay intact
CHECKS = ["whole", "truth", "once", "positions", "text", "labels", "end", "kept", "crashes", "recovers", "processes"]


class Node:
    """One rillwall process with its own loopback address and its own proxy to the store."""

    def __init__(self, soak, number, entry):
        self.soak, self.entry, self.zone = soak, entry, ZONES[number % len(ZONES)]
        self.name = f"{'entry' if entry else 'lead'}-{number}"
        self.ip = f"127.1.{soak.args.seed % 250}.{10 + number}"
        self.process, self.should_run, self.paused = None, False, False
        self.log = soak.folder / f"{self.name}.log"
        self.disk = soak.folder / f"{self.name}.disk"
        self.disk.mkdir(exist_ok=True)
        self.restarting = asyncio.Lock()  # faults overlap; only one at a time may restart the process

    def address(self):
        return (self.ip, 8161)

    async def start(self):
        self.proxy = await Proxy(self.soak.store.server.port).start()
        path = self.soak.folder / f"{self.name}.toml"
        path.write_text(f'''node-name = "{self.name}"
ip = "{self.ip}"
zone = "{self.zone}"
serves = ["{'edge' if self.entry else 'storage'}"]
internal-ports = [7720,7735]
{'' if self.entry else f'data-dir = "{self.disk}"'}
[listen]
frontend = "{self.ip}:8161"
readiness = "{self.ip}:8167"
[limits]
max-fds = 4100
disk-mb = 40
[bounds]
drain-ms = 2000
lease-ms = 3000
grace-s = {GRACE_S}
status-s = 120
[platform]
address = "127.0.0.1:{self.proxy.port}"
{self.soak.cloud.settings() if self.soak.cloud else ''}''')
        await self.launch()

    async def launch(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.soak.args.binary, "serve", stdout=log, stderr=log,
                env={"RILLWALL_NODE_FILE": str(self.soak.folder / f"{self.name}.toml"), "PATH": os.environ["PATH"]})
        self.should_run = True
        self.soak.started.append(self.process)
        asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        self.soak.check("processes", not self.should_run or process is not self.process,
                        f"{self.name} ended by itself with status {code}")

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number):
        """Sends a signal that ends the process, kills it after its grace period, and waits for it."""
        self.should_run = False
        self.send(signal.SIGCONT)
        self.send(number)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()

    async def restart(self, number, pause=0.0):
        async with self.restarting:
            await self.end(number)
            await asyncio.sleep(pause)
            await self.launch()

    async def ready(self):
        got = await call((self.ip, 8167), "GET", "/rillwall/readyz", limit=2)
        return got is not None and got[0] == 200


class Soak:
    """One run: processes and stand-ins, clients and trainer, faults and checks."""

    def __init__(self, args):
        self.args, self.rng = args, random.Random(args.seed)
        self.folder = pathlib.Path(args.keep or tempfile.mkdtemp(prefix="platform-soak-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.store = Store(self.rng)
        self.cloud = Cloud(self, ZONES) if args.scaling else None
        self.event_versions, self.runs, self.refused, self.counts, self.faults = {}, {}, set(), {}, {}
        self.service_kind = (LoadedService if args.surge else LeavingService if args.leaves else
                             SlowService if args.stops else Service)
        self.engine_kind = LeavingEngine if args.leaves else SlowEngine if args.stops else Engine
        self.failed, self.positions, self.ended, self.served = [], {}, {}, 0
        self.newest_version, self.stopping, self.config_version = 1, False, 0
        self.whole_steps, self.started = 0, []
        self.crashes, self.crashing_items = {}, False  # crashes: request -> (time, calm) of each replica it crashed
        self.handover = Handover(self) if args.handover else None
        self.storms = Ends(self) if args.ends else Storms(self) if args.storms else None
        self.stopping_ends = False
        self.leaves = Leaves(self) if args.leaves else Stops(self) if args.stops else None
        self.quiet, self.trainer_busy = False, False  # quiet: the trainer begins no step
        self.step_service = "engine"  # which service runs steps; None: their route is removed
        self.host_faults, self.host_fault_end = 0, 0.0  # running faults of hosts or store, and when the last one ended

    def check(self, name, holds, what):
        self.counts[name] = self.counts.get(name, 0) + 1
        if not holds:
            self.failed.append((name, what))
            print(f"soak: FAILED {name}: {what} (after {time.monotonic() - self.begun:.1f} s)", flush=True)

    async def build(self):
        self.begun = time.monotonic()
        await self.store.server.start()
        if self.cloud:
            await self.cloud.start()
        self.engines = [self.engine_kind(self.store, self.rng, "engine", ZONES[i % 3], {MODEL: 1}, self.event_versions)
                        for i in range(4)]
        self.services = [self.service_kind(self.store, self.rng, "plain", ZONES[i % 3], self.runs)
                         for i in range(self.args.services)]
        for replica in self.engines + self.services:
            await self.start_replica(replica)
        if self.storms:
            await self.storms.start()
        # Entries that look like replicas' count as some where replicas are ordered.
        odd.write(self.store, with_dead=not self.cloud)
        self.configure()
        self.nodes = [Node(self, i, i < self.args.entries) for i in range(self.args.entries + self.args.leads)]
        await asyncio.gather(*(node.start() for node in self.nodes))
        self.entries = [node for node in self.nodes if node.entry]

    async def start_replica(self, replica):
        replica.on_crash = self.crashed
        await replica.server.start()
        replica.proxy = await Proxy(replica.server.port).start()
        replica.register()

    def crashed(self, old, request):
        """Ends a replica that crashed under a request; a new one starts at its address seconds later."""
        calm = not self.host_faults and time.monotonic() - self.host_fault_end > CONTACT_S
        self.crashes.setdefault((request.path, request.body), []).append((time.monotonic(), calm))
        kind = self.engines if old in self.engines else self.services
        if old in kind:
            kind.remove(old)
            old.server.stop()
            old.proxy.stop()
            asyncio.create_task(self.restart_replica(old, kind))

    async def restart_replica(self, old, kind):
        await asyncio.sleep(self.rng.uniform(1.0, 2.0))
        self.store.revision += 1
        self.store.remove(f"servers/{old.id}")
        new = self.replacement(old, kind)
        await new.proxy.start()
        await new.server.start()
        new.register()
        kind.append(new)

    def replacement(self, old, kind):
        """Returns a replica at the address of another one."""
        new = (Engine(self.store, self.rng, "engine", old.zone, {MODEL: self.newest_version}, self.event_versions)
               if kind is self.engines else self.service_kind(self.store, self.rng, "plain", old.zone, self.runs))
        new.server.port, new.proxy, new.on_crash = old.server.port, old.proxy, self.crashed
        return new

    def configure(self):
        self.config_version += self.rng.randint(1, 3)
        def route(name, prefix, kind, service, **more):
            return {"name": name, "host": HOST, "prefix": prefix, "type": kind, "service": service,
                    "timeout-ms": 1500, "target-latency-ms": 150, "priority": 2, "attempts": 3} | more
        routes = [route("r1", "/status/", "idempotent", "plain"),
                  route("r2", "/charge/", "non_idempotent", "plain")]
        if self.step_service:
            routes.append(route("r3", "/steps/", "rollout", self.step_service, **{"due-ms": 7500, "max-wait-s": 60}))
        routes += [self.handover.route(route)] if self.handover else []
        if self.args.ends or self.args.leaves or self.args.stops:
            routes.append(route("r5", "/stream/", "streaming", "engine", **{"timeout-ms": 8000}))
        if self.args.long:
            routes.append(route("r6", "/long/", "idempotent", "plain", **LONG_ROUTE))
        routes += [route(f"x{i}", f"/x{i}/", "idempotent", "plain") for i in range(self.config_version)]
        def engines(name):
            return {"name": name, "max-conns": 100, "engine": {"slots": 6, "models": [{"name": MODEL}]}}
        services = [{"name": "plain", "max-conns": 100},
                    engines("engine") | (self.cloud.scaling() if self.cloud else {})]
        services += [engines("other")] if self.storms else []
        self.store.write("op/config", {"version": self.config_version, "routes": routes, "services": services})

    # Clients.

    async def client(self, kind):
        while not self.stopping:
            name = f"{self.rng.getrandbits(64):016x}"
            await self.request(kind, name)
            await asyncio.sleep(self.rng.uniform(0.02, 0.15))

    async def request(self, kind, name):
        node = self.rng.choice(self.entries)
        got = await call(node.address(), "POST", f"/{kind}/a", {
            "Host": HOST, "X-Rillwall-Request-Id": name, "X-Rillwall-Deadline-Ms": "1500"}, b"x" * 100, 4)
        if got is None:
            return False
        status, headers, body = got
        if status == 200:
            self.served += 1
            self.check("whole", body == b"body of " + name.encode() and headers.get(
                "x-rillwall-server-stamp") == "stamp-" + name, f"request {name} was answered with {body[:60]}")
        if status in (408, 421, 429, 503):
            self.refused.add(name)
            self.check("truth", name not in self.runs, f"request {name} was refused with status {status} and ran")
        return status == 200

    # The trainer.

    def make_step(self, number):
        items = []
        for group in range(8):
            for member in range(3):
                name = f"{self.rng.getrandbits(64):016x}"
                crashing = self.crashing_items and (group, member) == (7, 2)
                text = CRASHING if crashing else name.encode()
                items.append({
                    "id": name, "path": "/steps/x", "group": f"g{number}-{group}", "tokens": 100,
                    "headers": {"X-Rillwall-Model": MODEL, "X-Rillwall-Length-Hint": str(events_of(name))},
                    "body": base64.b64encode(text).decode(),
                    "scorer": {"id": name + "5c", "host": HOST, "path": "/status/score", "body": ""}})
        return {"step": number, "model": MODEL, "min-version": max(1, self.newest_version - 1),
                "target-groups": 7, "items": items}

    async def trainer(self):
        number = 0
        while not self.stopping:
            self.trainer_busy = not self.quiet
            if self.quiet:
                await asyncio.sleep(0.1)
                continue
            await self.run_step(number, 25)
            number += 1

    async def run_step(self, number, limit, step=None):
        """Submits a step and reads it until enough groups are complete. Returns whether they are."""
        step, name = step or self.make_step(number), f"{self.rng.getrandbits(64):016x}"
        end = time.monotonic() + limit
        accepted = False
        while not accepted and time.monotonic() < end:
            got = await call(self.rng.choice(self.entries).address(), "POST", "/steps/s", {
                "Host": HOST, "X-Rillwall-Request-Id": name}, json.dumps(step).encode(), 6)
            accepted = got is not None and got[0] == 202
            if not accepted:
                await asyncio.sleep(0.3)
        if not accepted:
            return False
        self.positions[name] = {}
        self.ended[name] = (step, None)
        whole = False
        while not whole and time.monotonic() < end:
            await self.read(name, self.rng.choice(self.entries), len(self.positions[name]))
            done = {row["id"] for row in self.positions[name].values()}
            groups = {}
            for item in step["items"]:
                groups.setdefault(item["group"], []).append(item["id"] in done)
            whole = sum(all(each) for each in groups.values()) >= step["target-groups"]
        await self.end_step(name, step)
        if whole:
            self.whole_steps += 1
            self.newest_version += 1
            self.store.write(f"op/version/{MODEL}", {"model": MODEL, "version": self.newest_version})
        return whole

    async def end_step(self, name, step):
        for _ in range(60):
            got = await call(self.rng.choice(self.entries).address(), "DELETE", f"/rillwall/lots/{name}",
                             {"Host": HOST}, b"", 6)
            if got is not None and got[0] == 200:
                self.ended[name] = (step, time.monotonic())
                asyncio.create_task(self.after_end(step))
                return
            await asyncio.sleep(0.3)

    async def after_end(self, step):
        await asyncio.sleep(3.0)
        count = lambda: sum(sum(len(v) for v in self.event_versions.get(i["id"], {}).values()) for i in step["items"])
        before = count()
        await asyncio.sleep(1.0)
        # A paused node learns of the end only when it runs again.
        calm = not any(node.paused for node in self.nodes) and self.store.mode == "ok"
        self.check("end", count() == before or not calm, f"step {step['step']} still ran 3 s after its end")

    async def read(self, name, node, after):
        got = await call(node.address(), "GET", f"/rillwall/lots/{name}?after={after}", {
            "Host": HOST, "X-Rillwall-Wait-Ms": "500"}, b"", 4)
        if got is None or got[0] != 200:
            if got is not None and got[0] in (404, 410):
                self.check("kept", False, f"{node.name} answered {got[0]} to a read of step {name}")
            await asyncio.sleep(0.1)
            return None
        body = json.loads(got[2])
        known, step = self.positions[name], self.ended[name][0]
        self.check("positions", body["total"] == len(step["items"]),
                   f"step {name} has {body['total']} items in its results")
        for offset, row in enumerate(body["results"]):
            at = after + offset
            if at in known:
                self.check("positions", known[at] == row, f"position {at} of step {name} has changed on {node.name}")
            else:
                self.check_new_result(name, step, known, at, row)
        return len(body["results"])

    def check_new_result(self, name, step, known, at, row):
        taken = {each["id"] for each in known.values()}
        self.check("positions", row["id"] not in taken, f"step {name} lists item {row['id']} twice")
        known[at] = row
        if row["state"] != "completed":
            return
        self.check("text", row["output"] == text_of(row["id"]), f"item {row['id']} has text {row['output'][:80]}")
        self.check("text", row["score"] == "stamp-" + row["id"] + "5c", f"item {row['id']} has score {row['score']}")
        generated = set().union(*self.event_versions.get(row["id"], {0: set()}).values())
        self.check("labels", row["versions"] and set(row["versions"]) <= generated and min(row["versions"]) >= step[
            "min-version"], f"item {row['id']} names versions {row['versions']}; its events have {generated}, "
                            f"and the step allows {step['min-version']} or later")

    async def reader(self):
        """Reads from random positions on random nodes, as further clients do."""
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
            if self.positions:
                name = self.rng.choice(list(self.positions))
                await self.read(name, self.rng.choice(self.entries), self.rng.randint(0, len(self.positions[name])))
                if self.rng.random() < 0.2:
                    await self.submit_again(list(self.positions)[-1])

    async def submit_again(self, name):
        """Submits an accepted step again: the answer is the same, and the step runs only once."""
        got = await call(self.rng.choice(self.entries).address(), "POST", "/steps/s", {
            "Host": HOST, "X-Rillwall-Request-Id": name}, json.dumps(self.ended[name][0]).encode(), 6)
        self.check("kept", got is None or got[0] in (202, 502, 503, 504),
                   f"step {name} was answered {got and got[0]} when submitted again")

    # Faults. Each ends by itself; several overlap.

    async def fault_kill(self):
        await self.rng.choice(self.nodes).restart(signal.SIGKILL, self.rng.uniform(0.1, 3))

    async def fault_term(self):
        await self.rng.choice(self.nodes).restart(signal.SIGTERM)

    async def fault_pause(self):
        node = self.rng.choice(self.nodes)
        node.paused = True
        node.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.5, 5))
        node.send(signal.SIGCONT)
        node.paused = False

    async def fault_reload(self):
        self.rng.choice(self.nodes).send(signal.SIGHUP)

    async def fault_kill_all(self):
        pause = self.rng.uniform(0, 1)
        await asyncio.gather(*(node.restart(signal.SIGKILL, pause) for node in self.nodes))

    async def fault_store(self):
        self.store.mode = self.rng.choice(["busy", "silent", "slow", "lost", "late"])
        await asyncio.sleep(self.rng.uniform(1, 5))
        self.store.mode = "ok"

    async def fault_outage(self):
        """Ends all processes while the store is away, so that texts are only on the disks."""
        self.store.mode = self.rng.choice(["busy", "silent"])
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        await asyncio.gather(*(node.restart(self.rng.choice([signal.SIGKILL, signal.SIGTERM])) for node in self.nodes))
        await asyncio.sleep(self.rng.uniform(0, 1))
        self.store.mode = "ok"

    async def fault_disk(self):
        """Each file of a disk is deleted, or truncated and followed by garbage."""
        for file in self.rng.choice(self.nodes).disk.glob("*"):
            kept = file.read_bytes()[:self.rng.randint(0, 2000)]
            file.unlink() if self.rng.random() < 0.5 else file.write_bytes(kept + b"\x00 torn\n")

    async def fault_forget(self):
        self.store.compact(0)

    async def fault_store_path(self):
        proxy = self.rng.choice(self.nodes).proxy
        proxy.set(self.rng.choice(["silent", "refuse", "reset", "in", "out", "delay"]))
        await asyncio.sleep(self.rng.uniform(1, 6))
        proxy.set("pass")

    async def fault_replica_path(self):
        proxy = self.rng.choice(self.engines + self.services).proxy
        proxy.set(self.rng.choice(["silent", "refuse", "reset", "in", "out", "delay"]))
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        proxy.set("pass")

    async def fault_replica(self):
        replica = self.rng.choice(self.engines + self.services)
        replica.fault = self.rng.choice(["slow", "full", "lost", "errors", "garble"])
        await asyncio.sleep(self.rng.uniform(1, 5))
        replica.fault = ""

    async def fault_replace(self):
        """A replica is removed and another one starts at its address."""
        kind = self.rng.choice([self.engines, self.services])
        if not kind:
            return  # the fault "crash" has all replicas of this kind down
        old = self.rng.choice(kind)
        old.server.stop()
        self.store.revision += 1
        self.store.remove(f"servers/{old.id}")
        kind.remove(old)
        await asyncio.sleep(self.rng.uniform(0, 2))
        new = self.replacement(old, kind)
        await new.server.start()
        new.register()
        kind.append(new)

    async def fault_crash(self):
        """A client repeats requests that crash each replica, on random hosts."""
        self.crashing_items = True
        for _ in range(8):
            await self.send_crashing_request(self.rng.choice(["status", "charge"]))
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))

    async def send_crashing_request(self, kind):
        name = f"{self.rng.getrandbits(64):016x}"
        got = await call(self.rng.choice(self.entries).address(), "POST", f"/{kind}/a", {
            "Host": HOST, "X-Rillwall-Request-Id": name, "X-Rillwall-Deadline-Ms": "1500"}, CRASHING + kind.encode(), 4)
        if got is not None and got[0] in (408, 421, 429, 503):
            self.refused.add(name)
            self.check("truth", name not in self.runs, f"request {name} was refused with status {got[0]} and ran")

    def check_crashes(self):
        for (path, body), runs in self.crashes.items():
            if path.startswith("/steps/"):
                self.check_paced(path, body, runs[PACED_CRASHES:])
            elif len(runs) > CRASHES:
                late = [at for at, calm in runs[CRASHES:] if calm and at > runs[CRASHES - 1][0] + CONTACT_S]
                self.check("crashes", len(late) <= MORE_RUNS,
                           f"{path} {body} crashed {len(runs)} replicas, {len(late)} of them late and by hosts "
                           "without a fault")

    def check_paced(self, path, body, runs):
        """Checks the crashes under an item after its pauses have reached their full length."""
        early = [(before, after) for (before, _), (after, calm) in zip(runs, runs[1:])
                 if calm and after - before < LEAST_PAUSE_S]
        self.check("crashes", len(early) <= MORE_RUNS, f"{path} {body} crashed {len(runs)} more replicas, {len(early)} "
                   f"of them within {LEAST_PAUSE_S} s after another one and by hosts without a fault")

    async def fault_config(self):
        self.configure()

    async def inject(self):
        names = [name[6:] for name in dir(self) if name.startswith("fault_")]
        if self.args.faults != "all":
            names = [name for name in names if name in self.args.faults.split(",")]
        busy = {}
        while not self.stopping and names:
            await asyncio.sleep(self.rng.uniform(0.3, 2.5))
            name = self.rng.choice(names)
            if name not in busy or busy[name].done():
                # Faults of one kind follow each other; different kinds overlap.
                self.faults[name] = self.faults.get(name, 0) + 1
                busy[name] = asyncio.create_task(self.inject_one(name))
        await asyncio.gather(*busy.values())

    async def inject_one(self, name):
        calm = name in CALM_FAULTS
        self.host_faults += not calm
        try:
            await getattr(self, "fault_" + name)()
        finally:
            self.host_faults -= not calm
            if not calm:
                self.host_fault_end = time.monotonic()

    # The run.

    async def all_ready(self, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if all([await node.ready() for node in self.entries]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def final_checks(self):
        self.check("recovers", await self.all_ready(12), "not all nodes are ready again after the faults")
        if "crash" in self.faults:
            # All other faults are over, but the crashing requests still arrive.
            await asyncio.sleep(CONTACT_S)
            await self.fault_crash()
            self.check_crashes()
            self.crashing_items = False
            await asyncio.sleep(3)  # until the last crashed replica is back
        served = [await self.request("status", f"{i:016x}") for i in range(10)]
        self.check("recovers", all(served), f"{served.count(False)} of 10 requests are not served")
        self.check("recovers", await self.run_step(10000, 25), "a new step is not completed")
        for name, known in self.positions.items():
            for node in self.entries:
                await self.read_all(name, known, node)
        for name in self.refused:
            self.check("truth", name not in self.runs, f"request {name} was refused and ran later")
        for name, count in self.runs.items():
            if name in self.charges:
                self.check("once", count <= 1, f"non-idempotent request {name} ran {count} times")

    async def read_all(self, name, known, node):
        at = 0
        for _ in range(60):
            got = await self.read(name, node, at)
            at += got or 0
            if at >= len(known):
                break
        self.check("kept", at >= len(known), f"{node.name} returns {at} of {len(known)} results of step {name}")

    async def run(self):
        await self.build()
        self.charges = set()
        request = self.request
        async def record_charge(kind, name):
            if kind == "charge":
                self.charges.add(name)
            return await request(kind, name)
        self.request = record_charge
        self.check("recovers", await self.all_ready(15), "not all nodes became ready")
        await asyncio.sleep(3.5)
        work = [asyncio.create_task(each) for each in (
            self.client("status"), self.client("status"), self.client("charge"), self.client("charge"),
            self.trainer(), self.reader(), self.reader(), *([self.cloud.run()] if self.cloud else []))]
        if self.args.surge:
            work.append(asyncio.create_task(Surge(self, HOST).run()))
        faults = asyncio.create_task(self.inject())
        await (self.leaves.run() if self.leaves else asyncio.sleep(self.args.seconds))
        if self.handover:
            await self.handover.run()
        if self.storms:
            await self.storms.run()
        self.stopping = True
        await asyncio.gather(faults, *work)
        await self.final_checks()
        if self.cloud:
            self.cloud.conclude()
        for node in self.nodes:
            await node.end(signal.SIGKILL)
        for process in self.started:
            self.check("processes", process.returncode is not None, f"process {process.pid} still runs at the end")
            if process.returncode is None:
                process.kill()

    def kill_left(self):
        for process in self.started:
            if process.returncode is None:
                try:
                    os.kill(process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass


def take_addresses(seed):
    """Waits until no other run on this machine uses the addresses of this seed, as two such runs would
    receive each other's requests. Returns the lock, which the process must keep."""
    lock = open(pathlib.Path(tempfile.gettempdir()) / f"rillwall-soak-{seed % 250}.lock", "w")
    for _ in range(ADDRESS_WAIT_S):
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return lock
        except BlockingIOError:
            time.sleep(1)
    raise SystemExit(f"Another run uses the addresses of seed {seed}; wait for its end or stop it.")


def conclude(soak, title, checks):
    """Prints each check, keeps the logs of a failed run, and exits."""
    failed = {name for name, _ in soak.failed}
    for name in checks:
        print(f"{title}: {'FAILED' if name in failed else 'ok'} {name} ({soak.counts.get(name, 0)} checks)")
    print(f"{len(checks) - len(failed)} passed, {len(failed)} failed")
    if not failed and not soak.args.keep:
        shutil.rmtree(soak.folder)
    elif failed:
        print(f"logs: {soak.folder}")
    raise SystemExit(1 if failed else 0)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--binary", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--leads", type=int, default=3)
    parser.add_argument("--services", type=int, default=3)
    parser.add_argument("--faults", default="all")
    parser.add_argument("--handover", action="store_true", help="change the lead while a step runs")
    parser.add_argument("--surge", action="store_true", help="adds a surge of requests; see surge.py")
    parser.add_argument("--scaling", action="store_true", help="order replicas; see scaling.py")
    parser.add_argument("--storms", action="store_true", help="replicas crash in groups, routes change; see storms.py")
    parser.add_argument("--ends", action="store_true", help="replicas end under answers without a length; see ends.py")
    parser.add_argument("--leaves", action="store_true", help="replicas leave while the lead changes; see leaves.py")
    parser.add_argument("--stops", action="store_true", help="hosts are stopped and started in turn; see stops.py")
    parser.add_argument("--long", action="store_true", help="with --stops: requests that outlast a stop; see stops.py")
    parser.add_argument("--keep", help="folder for the logs")
    args = parser.parse_args()
    lock = take_addresses(args.seed)
    soak = Soak(args)
    try:
        asyncio.run(soak.run())
    finally:
        soak.kill_left()  # an exception must not leave processes
    lock.close()
    print(f"seed {soak.args.seed}: served {soak.served}, whole steps {soak.whole_steps}, faults {soak.faults}, "
          f"checks {soak.counts}")
    checks = CHECKS + ["handover"] * args.handover
    checks += (SURGE_CHECKS if args.surge else []) + (["orders", "idle"] if args.scaling else [])
    checks += STORM_CHECKS if args.storms else []
    checks += END_CHECKS if args.ends else []
    checks += LEAVE_CHECKS if args.leaves else []
    checks += (STOP_CHECKS if args.stops else []) + ["late"] * args.long
    conclude(soak, "soak", checks)


if __name__ == "__main__":
    main()
