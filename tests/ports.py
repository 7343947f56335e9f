"""Allocates loopback ports that no other test process allocates.

The ports lie outside the range from which the system takes ephemeral
ports. They are allocated in blocks. A process claims a block by
listening on its first port, the guard, until the process ends.
"""

from collections import abc
import random
import socket
import threading

_FIRST, _END = 10_000, 32_000
_BLOCK_PORTS = 200

_lock = threading.Lock()
_guards: list[socket.socket] = []


def _blocks() -> abc.Iterator[int]:
    """Claim free blocks in random order; yield their first ports."""
    starts = list(range(_FIRST, _END - _BLOCK_PORTS + 1, _BLOCK_PORTS))
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
        yield from range(start + 1, start + _BLOCK_PORTS)
    while _guards:
        for guard in list(_guards):
            start = guard.getsockname()[1]
            yield from range(start + 1, start + _BLOCK_PORTS)


_candidates = _ports()


def take() -> int:
    """Return a port that nothing listens on.

    Once no block is left to claim, ports of the claimed blocks are
    returned again.
    """
    with _lock:
        while True:
            port = next(_candidates)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return port
