"""Hosts that are stopped and started in turn, for the soak.

Clients keep using their connections until the process is gone: streams of up to some seconds, plain requests that are
slow, requests whose bytes arrive in two pieces, and pairs of requests sent at once; with --long also requests that last
longer than a host takes to stop. A host is stopped with SIGTERM, at times twice. In a second part processes get signals
right after their start, and a lead is stopped while the store is silent.

  cut       a request that has reached a replica gets a complete answer, though its host stops; only one that was sent
            early and that the replica was still running near the end of the grace period may be cut
  late      with --long: a request that may be sent again gets an answer, though its replica was at work to the end
  unanswered  a request that was read is answered, or its connection is closed at once
  refused   a request that was refused has not run
  stops     a stopped process ends by itself within its grace period, with status 0
  started   a signal right after the start ends a process in order, or not at all if it is SIGHUP
"""

import asyncio
import signal
import time

from standins import Engine, Service
from web import answer, read_body, read_head

CHECKS = ["cut", "unanswered", "refused", "stops", "started"]
GRACE_S, EARLY_S, LAST_PART = 8.0, 3.0, 5 / 6  # of the platform's rule about requests that last long
LOSS_SLACK_S = 0.2
EVENT_S = 0.1
STREAM_EVENTS = (1, 75)
PLAIN_MS = (5, 900)
TIMEOUTS_S = {"stream": 8.0, "status": 1.5, "long": 20.0}
LONG_MS = 6000
LONG_ROUTE = {"timeout-ms": 20000, "target-latency-ms": 4000}
LONG_CALLERS = ("long",) * 4  # at each entry host
PAUSE_S = (0.0, 0.4)
PIECE_PAUSE_S = (0.05, 3.0)
SECOND_SIGNAL_S = (0.0, 3.0)
GAP_S = 1.0  # between two stops
CALLERS = ("stream", "stream", "stream", "status", "status", "pieces", "pair")  # at each entry host
SIGNAL_STARTS = 6
SIGNAL_DELAY_S = (0.0, 0.04)  # after the start of a process
HELD = 1 << signal.SIGHUP - 1 | 1 << signal.SIGTERM - 1  # the mask of a process that starts


class Sent:
    """What is known of one request."""

    def __init__(self, node, kind):
        self.node, self.kind, self.sent, self.closed = node, kind, None, None
        self.status, self.complete = None, False
        self.reached, self.ended, self.done = None, None, False  # at the replica


class Slow:
    """A replica whose requests name how long they take."""

    log = {}  # request -> Sent

    def begins(self, request):
        sent = self.log.get(request.headers["x-rillwall-request-id"])
        if sent:
            sent.reached = time.monotonic()
        return sent


class SlowEngine(Slow, Engine):
    async def stream(self, request, writer):
        if not request.path.startswith("/stream/"):
            return await super().stream(request, writer)
        sent, name = self.begins(request), request.headers["x-rillwall-request-id"]
        writer.write(f"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\nX-Rillwall-Request-Id: {name}\r\n"
                     f"X-Rillwall-Server-Stamp: s\r\nX-Rillwall-Weight-Versions: 1\r\n\r\n".encode())
        try:
            for n in range(1, int(request.path.split("/")[2]) + 1):
                await asyncio.sleep(EVENT_S)
                event = f"id: {n}\ndata: {name}-{n}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                if writer.transport.is_closing():
                    return
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            sent.done = True
        finally:
            sent.ended = time.monotonic()


class SlowService(Slow, Service):
    async def handle(self, request, writer):
        sent = self.log.get(request.headers.get("x-rillwall-request-id"))
        if sent is None or request.headers.get("x-rillwall-expect-instance", self.id) != self.id:
            return await super().handle(request, writer)
        if out := self.refused(request):
            return out
        self.begins(request)
        self.running += 1
        try:
            await asyncio.sleep(int(request.path.split("/")[2]) / 1000)
        finally:
            self.running -= 1
            sent.ended = time.monotonic()
        sent.done = not writer.transport.is_closing()
        name = request.headers["x-rillwall-request-id"]
        return answer(200, b"body of " + name.encode(), X_Rillwall_Request_Id=name,
                      X_Rillwall_Server_Stamp="stamp-" + name)


class Stops:
    """Stops hosts, sends requests to them, and judges what became of these."""

    def __init__(self, soak):
        self.soak, self.rng = soak, soak.rng
        self.rotation, self.stops, self.ending = set(), [], False

    async def run(self):
        soak = self.soak
        work = [asyncio.create_task(self.watch(node)) for node in soak.entries]
        while len(self.rotation) < len(soak.entries):
            await asyncio.sleep(0.1)
        kinds = CALLERS + (LONG_CALLERS if soak.args.long else ())
        callers = [asyncio.create_task(self.caller(node, kind)) for node in soak.entries for kind in kinds]
        end = time.monotonic() + soak.args.seconds
        while time.monotonic() < end:
            for node in self.rng.sample(soak.nodes, len(soak.nodes)):
                await self.stop(node)
        self.ending = True
        await asyncio.wait(callers, timeout=22 if soak.args.long else 12)
        self.judge()
        await self.signals_after_start()
        await self.stop_without_store()
        for each in work:
            each.cancel()

    async def watch(self, node):
        """Asks for the readiness of a host once a second, as the platform does."""
        misses = 0
        while True:
            misses = 0 if await node.ready() else misses + 1
            (self.rotation.add if misses == 0 else self.rotation.discard if misses >= 2 else id)(node)
            await asyncio.sleep(1.0)

    async def end(self, node, again=None):
        """Stops a process. Returns its status, or None if it had to be killed."""
        node.should_run = False
        begun, process = time.monotonic(), node.process
        node.send(signal.SIGTERM)
        second = again is not None and asyncio.get_running_loop().call_later(again, node.send, signal.SIGTERM)
        try:
            code = await asyncio.wait_for(process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            node.send(signal.SIGKILL)
            await process.wait()
            code = None
        if second:
            second.cancel()
        self.soak.check("stops", code == 0, f"{node.name} ended with {code} {time.monotonic() - begun:.1f} s after "
                        f"SIGTERM{'' if again is None else ', which came twice'}")

    async def stop(self, node):
        async with node.restarting:
            self.stops.append((node, time.monotonic()))
            again = self.rng.uniform(*SECOND_SIGNAL_S) if self.rng.random() < 0.4 else None
            await self.end(node, again)
            await node.launch()
        while node.entry and node not in self.rotation:
            await asyncio.sleep(0.1)
        await asyncio.sleep(GAP_S)

    # Clients.

    async def caller(self, node, kind):
        while not self.ending:
            if node not in self.rotation:
                await asyncio.sleep(0.1)
                continue
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*node.address(), limit=1 << 20), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                while not self.ending and await self.use(node, kind, reader, writer):
                    await asyncio.sleep(self.rng.uniform(*PAUSE_S))
                    if reader.at_eof():
                        break
            finally:
                writer.transport.abort()

    def make(self, node, kind):
        """Returns the bytes of a request."""
        name = f"{self.rng.getrandbits(64):016x}"
        service = kind if kind in ("stream", "long") else "status"
        size = LONG_MS if kind == "long" else self.rng.randint(*(STREAM_EVENTS if service == "stream" else PLAIN_MS))
        Slow.log[name] = Sent(node, service)
        model = "X-Rillwall-Model: model1\r\nX-Rillwall-Token-Usage: 10,10\r\n" if service == "stream" else ""
        body = b"y" * self.rng.choice([0, 100, 9000])
        return name, (f"POST /{service}/{size} HTTP/1.1\r\nHost: soak.example\r\nX-Rillwall-Request-Id: {name}\r\n"
                      f"X-Rillwall-Deadline-Ms: {round(1000 * TIMEOUTS_S[service])}\r\n{model}"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    async def use(self, node, kind, reader, writer):
        """Sends a request, or two at once. Returns whether the connection may be used again."""
        made = [self.make(node, kind) for _ in range(2 if kind == "pair" else 1)]
        whole = b"".join(each for _, each in made)
        try:
            if kind == "pieces":
                size = self.rng.randint(1, len(whole) - 1)
                writer.write(whole[:size])
                await asyncio.sleep(self.rng.uniform(*PIECE_PAUSE_S))
                whole = whole[size:]
            writer.write(whole)
            for name, _ in made:
                Slow.log[name].sent = time.monotonic()
            for at, (name, _) in enumerate(made):
                if not await self.receive(Slow.log[name], reader):
                    for other, _ in made[at:]:
                        Slow.log[other].closed = time.monotonic()
                    return False
            return True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            for name, _ in made:
                Slow.log[name].closed = Slow.log[name].closed or time.monotonic()
            return False

    @staticmethod
    async def receive(sent, reader):
        """Reads one answer. Returns whether another one may follow."""
        first, headers = await asyncio.wait_for(read_head(reader), 21 if sent.kind == "long" else 12)
        if not first:
            sent.closed = time.monotonic()
            return False
        sent.status = int(first.split()[1])
        await asyncio.wait_for(read_body(reader, headers), 12)
        sent.complete, sent.closed = True, time.monotonic()
        return headers.get("connection", "").lower() != "close"

    def judge(self):
        for name, sent in Slow.log.items():
            if sent.sent is None or sent.closed is None:
                continue
            if sent.status in (408, 421, 429, 503):
                self.soak.check("refused", sent.reached is None, f"request {name} was refused with {sent.status} and ran")
            stops = [at for node, at in self.stops if node is sent.node and sent.sent <= at + GRACE_S + 1
                     and sent.closed >= at]
            if not stops:
                continue
            after, lasted = sent.sent - stops[-1], sent.closed - sent.sent
            what = (f"{sent.kind} request {name}, sent to {sent.node.name} {after:.2f} s after its SIGTERM, ended without "
                    f"an answer {sent.closed - stops[-1]:.2f} s after it")
            if sent.reached is None:
                self.soak.check("unanswered", sent.complete or lasted <= LOSS_SLACK_S, what)
                continue
            if sent.kind == "long":
                self.soak.check("late", sent.complete, what)
                continue
            excused = (after <= EARLY_S and (sent.ended or sent.closed) >= stops[-1] + GRACE_S * LAST_PART
                       or lasted > TIMEOUTS_S[sent.kind])
            self.soak.check("cut", sent.complete or excused, what)

    # Signals at bad moments.

    async def signals_after_start(self):
        for number in range(SIGNAL_STARTS):
            for sent in (signal.SIGHUP, signal.SIGTERM):
                node = self.rng.choice(self.soak.nodes)
                async with node.restarting:
                    await node.end(signal.SIGKILL)
                    await node.launch()
                    node.should_run = sent == signal.SIGHUP
                    if sent == signal.SIGHUP:
                        await self.until_begun(node.process.pid)
                    else:
                        await asyncio.sleep(self.rng.uniform(*SIGNAL_DELAY_S))
                    node.send(sent)
                    if sent == signal.SIGTERM:
                        try:
                            code = await asyncio.wait_for(node.process.wait(), GRACE_S)
                        except asyncio.TimeoutError:
                            code = None
                        self.soak.check("started", code in (0, -sent), f"{node.name} ended with {code} after SIGTERM")
                        await node.end(signal.SIGKILL)
                        await node.launch()
                    else:
                        await asyncio.sleep(0.3)
                        self.soak.check("started", node.process.returncode is None, f"{node.name} was ended by SIGHUP")
                        if node.process.returncode is not None:
                            await node.launch()

    @staticmethod
    async def until_begun(pid):
        """Waits until a process holds SIGHUP back or handles it. Before that, while the dynamic linker runs, the
        system ends a process that gets the signal."""
        while True:
            status = dict(line.split(":", 1) for line in open(f"/proc/{pid}/status"))
            # Libraries block all signals for moments.
            if int(status["SigBlk"], 16) == HELD or int(status["SigCgt"], 16) & HELD == HELD:
                return
            await asyncio.sleep(0)

    async def stop_without_store(self):
        """Stops all candidates for the lead while the store is silent."""
        await asyncio.sleep(3)
        leads = [node for node in self.soak.nodes if not node.entry]
        self.soak.store.mode = "silent"
        await asyncio.sleep(0.5)
        async def stop(node):
            async with node.restarting:
                await self.end(node, self.rng.uniform(*SECOND_SIGNAL_S))
                await node.launch()
        await asyncio.gather(*(stop(node) for node in leads))
        self.soak.store.mode = "ok"
