"""Hands out loopback ports that no other test process hands out.

The ports lie outside of the range that the system draws outgoing ports
from. They come in blocks; the first port of a block is a guard that
this process listens on as long as it lives.
"""

from collections import abc
import random
import socket
import threading

_FIRST, _END = 10_000, 32_000
_BLOCK = 200

_lock = threading.Lock()
_guards: list[socket.socket] = []


def _blocks() -> abc.Iterator[int]:
    """Claim free blocks in random order; yield their first ports."""
    starts = list(range(_FIRST, _END - _BLOCK + 1, _BLOCK))
    random.shuffle(starts)
    for start in starts:
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", start))
            guard.listen(1)
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        yield start


def _ports() -> abc.Iterator[int]:
    for start in _blocks():
        yield from range(start + 1, start + _BLOCK)
    while _guards:
        for guard in list(_guards):
            start = guard.getsockname()[1]
            yield from range(start + 1, start + _BLOCK)


_free = _ports()


def take() -> int:
    """Return a port that nothing listens on."""
    with _lock:
        while True:
            port = next(_free)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return port
