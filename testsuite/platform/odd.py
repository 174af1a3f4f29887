"""Entries that another writer has left among those of the replicas, for the soak. None describes a replica."""

import json

SERVICES = ["plain", "engine"]
DEAD = "127.0.0.1:1"  # nothing listens there


def entry(service, **other):
    whole = {"service": service, "address": DEAD, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
             "cold-remaining-ms": 0, "sequence": 1, "models": [{"name": "model1", "version": 1, "adapters": []}]}
    return json.dumps(whole | other)


def unreadable(service):
    """Yields entries that hosts must refuse."""
    if service == SERVICES[0]:
        yield b"[" * 100000
    yield b'{"a":' * 1000 + b"1" + b"}" * 1000
    yield entry(service).replace("8", "1e400").encode()
    yield entry(service, slots=2**63 - 1).encode()
    yield entry(service, slots=10**30).encode()
    yield entry(service, address="127.0.0.1:65536").encode()
    yield entry(service, address="127.0.0.1:0").encode()
    yield entry(service, address="0.0.0.0:80").encode()
    yield entry(service, zone="z" * 20000).encode()
    yield entry(service, models=[{"name": "model1", "version": -1}]).encode()
    yield entry(service).encode()[:-20]
    yield b"\xff\xfe" + entry(service).encode()
    yield b""


def dead(service):
    """Yields entries that look like those of replicas, at an address where nothing listens."""
    for slots, leaves in ((8, 0), (10000, 0), (10000, 1e300)):
        yield entry(service, slots=slots, leaves_ms=leaves).encode()


def write(store, with_dead):
    for service in SERVICES:
        for number, value in enumerate([*unreadable(service), *(dead(service) if with_dead else ())]):
            store.write_bytes(f"servers/i-0dd{service}{number}", value)
