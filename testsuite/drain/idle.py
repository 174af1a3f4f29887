#!/usr/bin/env python3
"""Requests on idle connections of a node that drains.

usage: idle.py IP:PORT PID TARGET DELAYS...
Opens a connection for each delay, sends SIGTERM to the process, and sends a request for TARGET on each connection
when its delay in seconds has passed. Prints a line for each: "answered STATUS", "unread" if the connection was
closed before the request could be read, or "cut" if it ended later without a whole answer.
"""

import asyncio
import os
import signal
import sys

UNREAD_S = 0.2  # a connection that the node has closed already ends at once


async def request(address, target, delay, begin):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    begin.ready()
    await begin.signalled.wait()
    await asyncio.sleep(delay)
    loop = asyncio.get_running_loop()
    sent = loop.time()
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        await reader.readexactly(int(fields["content-length"]))
        return f"answered {head[0].split()[1]}"
    except (OSError, asyncio.IncompleteReadError):
        return "unread" if loop.time() - sent < UNREAD_S else "cut"
    finally:
        writer.transport.abort()


class Begin:
    """Lets the requests begin when all connections are open and the signal has been sent."""

    def __init__(self, count, pid):
        self.left, self.pid, self.signalled = count, pid, asyncio.Event()

    def ready(self):
        self.left -= 1
        if self.left == 0:
            os.kill(self.pid, signal.SIGTERM)
            self.signalled.set()


async def main():
    address, pid, target, *delays = sys.argv[1:]
    begin = Begin(len(delays), int(pid))
    for line in await asyncio.gather(*(request(address, target, float(delay), begin) for delay in delays)):
        print(line)


asyncio.run(main())
