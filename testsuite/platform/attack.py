"""Clients that don't behave, for floods.py. Runs as a process of its own, so that the load of the attack
does not delay the ordinary requests that floods.py measures.

usage: attack.py KIND HOST:PORT SECONDS SEED
Prints the number of connections made and the statuses received as JSON.
"""

import asyncio
import base64
import json
import random
import sys
import time

HOST = "soak.example"
MB = 1 << 20
BODY = 30 * MB
FIELDS = b"".join(b"%c:%c\r\n" % (97 + i % 26, 97 + i // 26 % 26) for i in range(2900))


class Attack:
    """One kind of client, with many connections."""

    def __init__(self, kind, address, seconds, seed):
        self.kind, self.address, self.end = kind, address, time.monotonic() + seconds
        self.rng, self.made, self.failed, self.statuses, self.ids = random.Random(seed), 0, 0, {}, {}
        self.accepted = []

    def name(self):
        return f"{self.rng.getrandbits(64):016x}"

    def head(self, path, extra, name=None):
        name = name or self.name()
        return (f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Rillwall-Request-Id: {name}\r\n"
                f"X-Rillwall-Deadline-Ms: 1500\r\n{extra}\r\n").encode()

    async def open(self):
        self.made += 1
        return await asyncio.open_connection(*self.address, limit=1 << 16)

    async def status_of(self, reader, name, limit=2.0):
        """Notes the status of an answer, if one comes."""
        try:
            line = await asyncio.wait_for(reader.readline(), min(limit, max(0.1, self.end - time.monotonic())))
            status = line.split()[1].decode() if line else "closed"
        except asyncio.TimeoutError:
            status = "none"
        except OSError:
            status = "reset"
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status == "202":
            self.accepted.append(name)
        if status in ("408", "429", "503"):
            self.ids[name] = int(status)

    async def repeat(self, client):
        """Runs clients of one kind one after another until the end."""
        while time.monotonic() < self.end:
            writer = None
            try:
                reader, writer = await self.open()
                await client(reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                self.failed += 1
                await asyncio.sleep(0.02)
            finally:
                if writer:
                    writer.transport.abort()

    async def until_end(self):
        await asyncio.sleep(max(0.0, self.end - time.monotonic()))

    async def send(self, writer, data):
        writer.write(data)
        await asyncio.wait_for(writer.drain(), max(0.1, self.end - time.monotonic()))

    # One connection of each kind.

    async def whole(self, reader, writer, path="/status/a", size=BODY):
        name = self.name()
        await self.send(writer, self.head(path, f"Content-Length: {size}\r\n", name))
        part = b"x" * MB
        try:
            for _ in range(size // MB):
                await self.send(writer, part)
            await self.send(writer, b"x" * (size % MB))
        except OSError:
            pass  # refused; the answer may have come before
        await self.status_of(reader, name)

    async def pieces(self, reader, writer):
        name = self.name()
        await self.send(writer, self.head("/status/a", f"Content-Length: {BODY}\r\n", name))
        part = b"x" * 1024
        try:
            for _ in range(BODY // 1024):
                await self.send(writer, part)
        except OSError:
            pass
        await self.status_of(reader, name)

    async def half(self, reader, writer, size=BODY, path="/status/a"):
        name = self.name()
        await self.send(writer, self.head(path, f"Content-Length: {size}\r\n", name))
        try:
            for _ in range(8):
                await self.send(writer, b"x" * (size // 16))
        except OSError:
            pass
        await self.status_of(reader, name, 20.0)

    async def bytewise(self, reader, writer):
        name = self.name()
        await self.send(writer, self.head("/status/a", "Transfer-Encoding: chunked\r\n", name))
        part = b"1\r\nx\r\n" * 10000
        try:
            for _ in range(BODY // 10000):
                await self.send(writer, part)
        except OSError:
            pass
        await self.status_of(reader, name)

    async def endless(self, reader, writer):
        name = self.name()
        await self.send(writer, self.head("/status/a", "Transfer-Encoding: chunked\r\n", name))
        part = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        try:
            while time.monotonic() < self.end:
                await self.send(writer, part)
        except OSError:
            pass
        await self.status_of(reader, name)

    async def huge(self, reader, writer):
        name = self.name()
        await self.send(writer, self.head("/status/a", "Content-Length: 10000000000\r\n", name))
        try:
            for _ in range(100):
                await self.send(writer, b"x" * MB)
        except OSError:
            pass
        await self.status_of(reader, name)

    async def fields(self, reader, writer, path="/unknown/a", size=5 * MB):
        name = self.name()
        # The longest head within the operator's limit.
        await self.send(writer, self.head(path, f"Content-Length: {size}\r\n" + FIELDS.decode(), name))
        try:
            await self.send(writer, b"x" * size)
        except OSError:
            pass
        await self.status_of(reader, name)

    async def unfinished(self, _reader, writer):
        await self.send(writer, self.head("/status/a", "X-More: 1\r\n")[:-2])
        await self.until_end()

    async def ahead(self, _reader, writer):
        """Sends many requests without reading the answers."""
        while time.monotonic() < self.end:
            await self.send(writer, b"".join(self.head("/status/a", "Content-Length: 4\r\n") + b"abcd"
                                             for _ in range(50)))

    async def unread(self, reader, writer):
        """Asks for answers and reads them a byte at a time."""
        writer.write(b"".join(self.head("/status/a", "Content-Length: 4\r\n") + b"abcd" for _ in range(100)))
        while time.monotonic() < self.end:
            await asyncio.wait_for(reader.readexactly(1), 5)
            await asyncio.sleep(0.2)

    async def bytes_slowly(self, _reader, writer):
        for byte in self.head("/status/a", "Content-Length: 100\r\n"):
            await self.send(writer, bytes([byte]))
            await asyncio.sleep(0.1)

    async def step(self, reader, writer, size=20 * MB):
        """Submits a step that is made of very many short items."""
        name = self.name()
        row = '{"id":"%07x","path":"/steps/x","body":""}'
        count = size // (len(row % 0) + 1)
        first = self.rng.getrandbits(24) & 0xfff0000
        body = ('{"step":0,"model":"model1","items":[' + ",".join(row % (first + i) for i in range(count))
                + "]}").encode()
        await self.send(writer, self.head("/steps/s", f"Content-Length: {len(body)}\r\nContent-Type: application/json\r\n", name))
        try:
            await self.send(writer, body)
        except OSError:
            pass
        await self.status_of(reader, name, 6.0)

    async def item_bodies(self, reader, writer):
        """Submits steps of legal size whose items have bodies of 20 KB."""
        name = self.name()
        text = base64.b64encode(b"x" * 15000).decode()
        items = [{"id": f"{self.rng.getrandbits(64):016x}", "path": "/steps/x", "tokens": 100, "body": text,
                  "headers": {"X-Rillwall-Model": "model1"}} for _ in range(1000)]
        body = json.dumps({"step": 0, "model": "model1", "items": items}).encode()
        await self.send(writer, self.head("/steps/s", f"Content-Length: {len(body)}\r\n", name))
        try:
            await self.send(writer, body)
        except OSError:
            pass
        await self.status_of(reader, name, 6.0)

    async def run(self):
        connections, client = {
            "bodies": (40, self.whole),
            "few-bodies": (4, self.whole),
            "unrouted": (40, lambda r, w: self.whole(r, w, "/unknown/a")),
            "pieces": (40, self.pieces),
            "halves": (40, self.half),
            "small-halves": (800, lambda r, w: self.half(r, w, 300 * 1024)),
            "least-halves": (2000, lambda r, w: self.half(r, w, 60 * 1024)),
            "bytewise": (40, self.bytewise),
            "endless": (40, self.endless),
            "huge": (40, self.huge),
            "heads": (60, self.fields),
            "fields": (60, lambda r, w: self.fields(r, w, "/status/a", 10)),
            "unfinished": (4000, self.unfinished),
            "ahead": (60, self.ahead),
            "unread": (200, self.unread),
            "bytes": (400, self.bytes_slowly),
            "steps": (1, self.step),
            "many-steps": (6, self.step),
            "item-bodies": (4, self.item_bodies),
        }[self.kind]
        await asyncio.gather(*(self.repeat(client) for _ in range(connections)))
        print(json.dumps({"made": self.made, "failed": self.failed, "statuses": self.statuses, "refused": self.ids,
                          "accepted": self.accepted}))


def main():
    kind, address, seconds, seed = sys.argv[1:5]
    host, _, port = address.partition(":")
    asyncio.run(Attack(kind, (host, int(port)), float(seconds), int(seed)).run())


if __name__ == "__main__":
    main()
