#!/usr/bin/env python3
"""Clients that don't behave, against `rillwall serve` processes on loopback, beside ordinary traffic.

Each case starts an entry host and two leads with the memory of small machines, sends ordinary requests, and
lets the clients of attack.py loose on one server of one host. A thread reads the resident memory of each
process every few ms; a process over the memory of its machine is killed, and the case fails.

Checks:
  memory     no process passes the memory of its machine
  processes  no process ends by itself
  served     ordinary requests are served while the attack lasts, with one retry, within their time limit
  ready      the host stays in rotation: no two readiness checks in a row fail
  truth      a request that was answered 408, 429 or 503 did not run
  calm       after the attack, the largest plain body that the operator allows is served, whole and in chunks
  step       after the attack, a large step is accepted and its first results are read
  stops      with stop: the attacked host ends within its grace period

A case KIND@SERVER plays a kind of client of attack.py against a server: clients, readiness, nodes, metrics, or
"lead-nodes" and "lead-metrics" of a lead.

usage: floods.py --binary PATH [--cases NAME,...] [--seconds S] [--seed N] [--entry-mb MB] [--lead-mb MB] [--keep DIR]
Prints a line per case with the most memory of each process and how the ordinary requests fared, and ends with
"N passed, N failed". The logs of failed cases stay in their folder.
"""

import argparse
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

from standins import Engine, Service, Store, events_of, text_of
from web import call, read_head

FOLDER = pathlib.Path(__file__).resolve().parent
HOST, MODEL, ZONES = "soak.example", "model1", ["z1", "z2", "z3"]
MB = 1000 * 1000
GRACE_S, CLIENTS, LIMIT_S = 8, 10, 1.5
LARGEST = 32 << 20  # max-body-bytes
SERVED_SHARE = 0.95
PORTS = {"clients": 8161, "readiness": 8167, "nodes": 7720, "metrics": 9464}

# case -> (kind of client, server of the entry host; of a lead where it begins with "lead", what else happens)
CASES = {
    "calm": (None, "clients", None),
    "bodies": ("bodies", "clients", None),
    "few-bodies": ("few-bodies", "clients", None),
    "unrouted": ("unrouted", "clients", None),
    "pieces": ("pieces", "clients", None),
    "halves": ("halves", "clients", None),
    "small-halves": ("small-halves", "clients", None),
    "least-halves": ("least-halves", "clients", None),
    "bytewise": ("bytewise", "clients", None),
    "endless": ("endless", "clients", None),
    "huge": ("huge", "clients", None),
    "heads": ("heads", "clients", None),
    "fields": ("fields", "clients", None),
    "unfinished": ("unfinished", "clients", None),
    "ahead": ("ahead", "clients", None),
    "unread": ("unread", "clients", None),
    "bytes": ("bytes", "clients", None),
    "steps": ("steps", "clients", None),
    "many-steps": ("many-steps", "clients", None),
    "item-bodies": ("item-bodies", "clients", None),
    "ready-halves": ("small-halves", "readiness", None),
    "ready-unfinished": ("unfinished", "readiness", None),
    "metrics-halves": ("small-halves", "metrics", None),
    "nodes-halves": ("small-halves", "nodes", None),
    "lead-halves": ("small-halves", "lead-nodes", None),
    "lead-bodies": ("bodies", "lead-nodes", None),
    "reload": ("small-halves", "clients", "reload"),
    "stop": ("halves", "clients", "stop"),
    "takeover": ("item-bodies", "clients", "takeover"),
}


class Node:
    """One rillwall process with its own loopback address and the memory of its machine."""

    def __init__(self, case, number, entry):
        self.case, self.entry, self.zone = case, entry, ZONES[number % 3]
        self.name = f"{'entry' if entry else 'lead'}-{number}"
        self.ip = f"127.2.{case.args.seed % 250}.{10 + number}"
        self.memory_mb = case.args.entry_mb if entry else case.args.lead_mb
        self.process, self.should_run, self.most, self.over = None, False, 0, False

    async def start(self):
        path, disk = self.case.folder / f"{self.name}.toml", self.case.folder / f"{self.name}.disk"
        disk.mkdir(exist_ok=True)
        path.write_text(f'''node-name = "{self.name}"
ip = "{self.ip}"
zone = "{self.zone}"
serves = ["{'edge' if self.entry else 'storage'}"]
internal-ports = [7720,7735]
{'' if self.entry else f'data-dir = "{disk}"'}
[listen]
frontend = "{self.ip}:8161"
readiness = "{self.ip}:8167"
[limits]
memory-mb = {self.memory_mb}
max-fds = 4100
disk-mb = 40
[bounds]
drain-ms = 2000
lease-ms = 3000
grace-s = {GRACE_S}
status-s = 120
[platform]
address = "127.0.0.1:{self.case.store.server.port}"
''')
        with open(self.case.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.case.args.binary, "serve", stdout=log, stderr=log,
                env={"RILLWALL_NODE_FILE": str(path), "PATH": os.environ["PATH"]})
        self.should_run = True
        asyncio.create_task(self.watch())

    async def watch(self):
        code = await self.process.wait()
        self.case.check("processes", not self.should_run or self.over,
                        f"{self.name} ended by itself with status {code}")

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def read_memory(self):
        """Kills the process if it is over the memory of its machine."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                self.most = max(self.most, int(line.split()[1]) * 1024)
        if self.most > self.memory_mb * MB and not self.over:
            self.over = True
            os.kill(self.process.pid, signal.SIGKILL)


class Case:
    """One case: the deployment, its ordinary traffic, and the attack."""

    def __init__(self, args, name):
        self.args, self.name, self.rng = args, name, random.Random(f"{args.seed} {name}")
        self.folder = pathlib.Path(args.keep or tempfile.mkdtemp(prefix="platform-floods-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.store, self.runs, self.event_versions = Store(self.rng), {}, {}
        self.counts, self.failed, self.stopping = 0, [], False
        self.times, self.asked, self.refused, self.misses, self.last = [], 0, {}, 0, None

    def check(self, what, holds, why):
        self.counts += 1
        if not holds:
            self.failed.append(what)
            print(f"floods {self.name}: FAILED {what}: {why}", flush=True)

    async def build(self):
        await self.store.server.start()
        self.replicas = [Service(self.store, self.rng, "plain", zone, self.runs) for zone in ZONES]
        self.replicas += [Engine(self.store, self.rng, "engine", zone, {MODEL: 1}, self.event_versions)
                          for zone in ZONES]
        for replica in self.replicas:
            await replica.server.start()
            replica.proxy = replica.server
            replica.register()
        def route(name, prefix, kind, service, **more):
            return {"name": name, "host": HOST, "prefix": prefix, "type": kind, "service": service,
                    "timeout-ms": 1500, "target-latency-ms": 150, "priority": 2, "attempts": 2} | more
        self.store.write("op/config", {
            "version": 7, "routes": [
                route("r1", "/status/", "idempotent", "plain"),
                route("r2", "/large/", "idempotent", "plain", **{"timeout-ms": 8000, "target-latency-ms": 4000}),
                route("r3", "/steps/", "rollout", "engine", **{"due-ms": 7500, "max-wait-s": 60})],
            "services": [{"name": "plain", "max-conns": 100},
                         {"name": "engine", "max-conns": 100, "engine": {"slots": 6, "models": [{"name": MODEL}]}}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": LARGEST, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}})
        self.nodes = [Node(self, i, i == 0) for i in range(3)]
        self.entry = self.nodes[0]
        for node in self.nodes:
            await node.start()
        threading.Thread(target=self.watch_memory, daemon=True).start()
        for _ in range(100):
            if await self.request(LIMIT_S):
                return
            await asyncio.sleep(0.1)
        self.check("served", False, "the hosts did not begin to serve")

    def watch_memory(self):
        while not self.stopping:
            for node in self.nodes:
                if node.process is not None and node.process.returncode is None:
                    node.read_memory()
            time.sleep(0.004)

    # Ordinary traffic.

    async def request(self, limit):
        name = f"{self.rng.getrandbits(64):016x}"
        got = await call((self.entry.ip, 8161), "POST", "/status/a", {
            "Host": HOST, "X-Rillwall-Request-Id": name, "X-Rillwall-Deadline-Ms": str(int(limit * 1000))},
            b"q" * 600, limit)
        if got is not None and got[0] in (408, 429, 503):
            self.refused[name] = got[0]
        return got is not None and got[0] == 200

    async def client(self):
        while not self.quiet:
            begun, served = time.monotonic(), False
            for _ in range(2):
                left = LIMIT_S - (time.monotonic() - begun)
                if not served and left > 0.1:
                    served = await self.request(min(left, LIMIT_S * 2 / 3))
            self.asked += 1
            if served:
                self.times.append(time.monotonic() - begun)
            await asyncio.sleep(self.rng.uniform(0.05, 0.15))

    async def readiness(self):
        row = 0
        while not self.quiet:
            got = await call((self.entry.ip, 8167), "GET", "/rillwall/readyz", limit=1.0)
            row = 0 if got is not None and got[0] == 200 else row + 1
            self.misses = max(self.misses, row)
            await asyncio.sleep(1.0)

    # What happens beside the attack.

    async def reload(self):
        for _ in range(5):
            self.entry.send(signal.SIGHUP)
            await asyncio.sleep(self.args.seconds / 6)

    async def takeover(self):
        await asyncio.sleep(self.args.seconds / 3)
        lead = self.rng.choice(self.nodes[1:])
        lead.should_run = False
        lead.send(signal.SIGTERM)

    async def stop(self):
        await asyncio.sleep(self.args.seconds / 2)
        self.quiet, self.entry.should_run = True, False
        self.entry.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.entry.process.wait(), GRACE_S)
            self.check("stops", True, "")
        except asyncio.TimeoutError:
            self.check("stops", False, f"{self.entry.name} ran on for {GRACE_S} s after SIGTERM")

    # After the attack.

    async def largest_body(self):
        for _ in range(3):
            name = f"{self.rng.getrandbits(64):016x}"
            got = await call((self.entry.ip, 8161), "POST", "/large/a", {
                "Host": HOST, "X-Rillwall-Request-Id": name, "X-Rillwall-Deadline-Ms": "8000"}, b"x" * LARGEST, 9)
            if got is not None and got[0] == 200 and got[2] == b"body of " + name.encode():
                return True
            self.last = got and got[0]
            await asyncio.sleep(1.0)
        return False

    async def largest_in_chunks(self):
        name = f"{self.rng.getrandbits(64):016x}"
        reader, writer = await asyncio.open_connection(self.entry.ip, 8161, limit=1 << 22)
        try:
            writer.write((f"POST /large/a HTTP/1.1\r\nHost: {HOST}\r\nX-Rillwall-Request-Id: {name}\r\n"
                          "X-Rillwall-Deadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
            for _ in range(LARGEST // 65536):
                writer.write(b"10000\r\n" + b"x" * 65536 + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            self.last = (await asyncio.wait_for(read_head(reader), 9))[0]
        except OSError as error:
            self.last = str(error)
        finally:
            writer.transport.abort()
        return self.last.startswith("HTTP/1.1 200")

    async def large_step(self, size):
        """Submits a step of a size and reads its first results."""
        text = base64.b64encode(b"y" * 15000).decode()
        items, total = [], 0
        while total + 20500 < size:
            item = {"id": f"{self.rng.getrandbits(64):016x}", "path": "/steps/x", "tokens": 100,
                    "headers": {"X-Rillwall-Model": MODEL}, "body": text,
                    "group": f"g{len(items) // 4}"}
            item["scorer"] = {"id": item["id"] + "5c", "host": HOST, "path": "/status/score", "body": ""}
            items.append(item)
            total += len(json.dumps(item)) + 2
        name = f"{self.rng.getrandbits(64):016x}"
        body = json.dumps({"step": 0, "model": MODEL, "min-version": 1, "target-groups": 2, "items": items}).encode()
        self.last = len(body)
        for _ in range(4):
            got = await call((self.entry.ip, 8161), "POST", "/steps/s", {
                "Host": HOST, "X-Rillwall-Request-Id": name, "Content-Type": "application/json"}, body, 6)
            if got is not None and got[0] == 202:
                break
            self.last = got and got[0]
            await asyncio.sleep(1.0)
        else:
            return False
        rows = []
        for _ in range(60):
            got = await call((self.entry.ip, 8161), "GET", f"/rillwall/lots/{name}?after={len(rows)}",
                             {"Host": HOST, "X-Rillwall-Wait-Ms": "500"}, b"", 3)
            if got is not None and got[0] == 200:
                rows += json.loads(got[2])["results"]
            if len(rows) >= 40:
                break
            await asyncio.sleep(0.1)
        wrong = [row for row in rows if row["state"] != "completed" or row["output"] != text_of(row["id"])]
        self.check("step", not wrong, f"wrong results: {wrong[:2]}")
        item = items[-1]["id"]
        got = await call((self.entry.ip, 8161), "GET", f"/rillwall/items/{name}?id={item}", {"Host": HOST}, b"", 3)
        self.check("step", got is not None and got[0] == 200 and got[2] == b"y" * 15000,
                   f"the body of item {item} was answered {got and got[0]}")
        await call((self.entry.ip, 8161), "DELETE", f"/rillwall/lots/{name}", {"Host": HOST}, b"", 6)
        self.last = f"{len(rows)} results"
        return len(rows) >= 40

    async def attack(self, kind, server):
        target = self.nodes[1] if server.startswith("lead") else self.entry
        port = PORTS[server.removeprefix("lead-")]
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(FOLDER / "attack.py"), kind, f"{target.ip}:{port}", str(self.args.seconds),
            str(self.args.seed), stdout=asyncio.subprocess.PIPE)
        out, _ = await process.communicate()
        result = json.loads(out or b"{}")
        for name, status in result.pop("refused", {}).items():
            self.refused[name] = status
        # The engines would be busy with them for long.
        for name in result.pop("accepted", []):
            await call((self.entry.ip, 8161), "DELETE", f"/rillwall/lots/{name}", {"Host": HOST}, b"", 6)
        return result

    async def run(self):
        kind, server, beside = CASES.get(self.name) or (*self.name.split("@"), None)
        await self.build()
        self.quiet = False
        ordinary = [asyncio.create_task(self.client()) for _ in range(CLIENTS)]
        ordinary.append(asyncio.create_task(self.readiness()))
        tasks = [getattr(self, beside)()] if beside else []
        tasks.append(self.attack(kind, server) if kind else asyncio.sleep(self.args.seconds, {}))
        result = (await asyncio.gather(*tasks))[-1]
        self.quiet = True
        await asyncio.gather(*ordinary)
        if beside != "stop":
            await asyncio.sleep(1.0)
            self.check("calm", await self.largest_body(), f"a body of {LARGEST} bytes was answered {self.last}")
            self.check("calm", await self.largest_in_chunks(), f"a body in chunks was answered {self.last}")
            step = self.args.step_mb * MB if self.args.step_mb else LARGEST
            self.check("step", await self.large_step(step), f"a step of {step} bytes: {self.last}")
        await self.conclude(result, beside)

    async def conclude(self, result, beside):
        for node in self.nodes:
            self.check("memory", not node.over, f"{node.name} took over {node.memory_mb} MB")
        share = len(self.times) / max(1, self.asked)
        self.check("served", share >= SERVED_SHARE and self.asked > 0,
                   f"{len(self.times)} of {self.asked} ordinary requests were served")
        self.check("ready", self.misses < 2 or beside == "stop", f"{self.misses} readiness checks in a row failed")
        ran = [name for name in self.refused if name in self.runs or name in self.event_versions]
        self.check("truth", not ran, f"requests were refused and ran: {ran[:3]}")
        times = sorted(self.times) or [0]
        print(f"floods {self.name}: " + ", ".join(f"{node.name} {node.most / MB:.0f} MB" for node in self.nodes) +
              f"; served {len(self.times)}/{self.asked}, p50 {times[len(times) // 2] * 1000:.0f} ms, "
              f"p99 {times[len(times) * 99 // 100] * 1000:.0f} ms; attack {json.dumps(result)}", flush=True)

    async def clean(self):
        for node in self.nodes:
            node.should_run = False
            node.send(signal.SIGKILL)
            await node.process.wait()
        self.stopping = True
        self.store.server.stop()
        for replica in self.replicas:
            replica.server.stop()
        if not self.failed and not self.args.keep:
            shutil.rmtree(self.folder, ignore_errors=True)
        elif self.failed:
            print(f"floods {self.name}: logs in {self.folder}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--binary", required=True)
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entry-mb", type=int, default=110)
    parser.add_argument("--lead-mb", type=int, default=130)
    parser.add_argument("--step-mb", type=int, default=0)
    parser.add_argument("--keep")
    args = parser.parse_args()
    passed = failed = 0
    for name in args.cases.split(","):
        case = Case(args, name)
        async def play():
            try:
                await case.run()
            finally:
                await case.clean()
        asyncio.run(play())
        passed, failed = passed + case.counts - len(case.failed), failed + len(case.failed)
    print(f"{passed} passed, {failed} failed")
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()
