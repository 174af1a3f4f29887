"""HTTP/1.1 server and client, and a TCP proxy that injects faults, for the platform's stand-ins."""

import asyncio
import json
import socket
import struct


class Cut(Exception):
    """Raised by a handler to close the connection without an answer, or before the end of one."""


def close_now(writer, reset=False):
    """Closes a connection at once: with a reset, or in order (FIN), as the kernel does for a killed process."""
    if reset and not writer.transport.is_closing():
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Request:
    """One request that a stand-in received."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)

    def json(self):
        return json.loads(self.body or b"{}")


async def read_head(reader):
    """Returns the first line and the headers, whose names are in lower case."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return "", {}
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding") == "chunked":
        parts = []
        while size := int(await reader.readline(), 16):  # a ValueError at the end of the input
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer(status, body=b"", **headers):
    """Returns the bytes of a complete answer. Underscores in header names become dashes."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Serves handler(request, writer), which returns the answer as bytes, or None if it wrote the answer."""

    def __init__(self, handler):
        self.handler, self.port, self.writers, self.server = handler, 0, set(), None

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self, reset=False):
        """Closes the port and all connections."""
        self.server.close()
        for writer in list(self.writers):
            close_now(writer, reset)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        reset = False
        try:
            while True:
                first, headers = await read_head(reader)
                if not first:
                    break
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers, await read_body(reader, headers))
                out = await self.handler(request, writer)
                if out is not None:
                    writer.write(out)
                await writer.drain()
        except Cut:
            # An orderly end would complete an answer without a length.
            reset = True
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            close_now(writer, reset)


async def call(address, method, target, headers=None, body=b"", limit=10.0):
    """Makes one call on a new connection. Returns (status, headers, body), or None without a complete answer."""
    async def run():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in ({"Host": "x"} | (headers or {})).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, got = await read_head(reader)
            if not first:
                return None
            return int(first.split()[1]), got, await read_body(reader, got)
        finally:
            writer.transport.abort()
    try:
        return await asyncio.wait_for(run(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


class Proxy:
    """Proxy between a node and one peer.

    Modes: pass, delay, reset (once), refuse, silent; in and out hold back one direction only.
    """

    def __init__(self, port):
        self.target, self.mode, self.server, self.port, self.writers = port, "pass", None, 0, set()

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self, reset=False):
        """Closes the port and all connections, as if the peer's process had ended."""
        self.server.close()
        for writer in list(self.writers):
            close_now(writer, reset)

    def set(self, mode):
        self.mode = mode
        if mode in ("reset", "refuse"):
            for writer in list(self.writers):
                close_now(writer, reset=True)
            if mode == "reset":
                self.mode = "pass"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        other, reset = None, False
        try:
            if self.mode == "refuse":
                return
            back, other = await asyncio.open_connection("127.0.0.1", self.target, limit=1 << 20)
            self.writers.add(other)
            await asyncio.gather(self.pump(reader, other, "out"), self.pump(back, writer, "in"))
        except (ConnectionError, OSError):
            reset = True
        except asyncio.CancelledError:
            pass
        finally:
            for each in (writer, other):
                if each:
                    self.writers.discard(each)
                    close_now(each, reset)

    async def pump(self, reader, writer, way):
        writer.transport.set_write_buffer_limits(0)  # drain() waits until all is sent
        while data := await reader.read(1 << 16):
            while self.mode in ("silent", way):
                await asyncio.sleep(0.05)
            if self.mode == "delay":
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        writer.transport.abort()
