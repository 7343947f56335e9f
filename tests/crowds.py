"""Crowds of HTTP clients that ignore the limits on requests.

Each kind is a function that sends on one connection until a time.
"""

from collections import abc
import contextlib
import itertools
import pathlib
import socket
import subprocess
import threading
import time

CROWD = 20
MANY_CONNECTIONS = 400
MAX_HEAD_BYTES = 16_384
_CROWD_S = 3.0
_SAMPLE_INTERVAL_S = 0.05
_DRIP_INTERVAL_S = 0.5
_BLOCK = 64 * 1024
_BODY_BYTES = 1_000_000
_LINE = b"a:b\r\n"
_IDS = itertools.count()
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"

Sender = abc.Callable[[socket.socket, float], None]


def head(method: bytes = b"GET", path: bytes = b"/x/1") -> bytes:
    """Return the start of a request without the last empty line."""
    return (
        b"%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd-%d\r\n"
        % (method, path, next(_IDS))
    )


def legal_head(method: bytes = b"GET", path: bytes = b"/x/1") -> bytes:
    """Return a head of at most 16 KB with as many lines as fit."""
    start = head(method, path)
    count = (MAX_HEAD_BYTES - len(start) - 2) // len(_LINE)
    return start + _LINE * count + b"\r\n"


def repeat(first: abc.Callable[[], bytes], block: bytes) -> Sender:
    """Return a function that sends a start and then a block without end."""

    def send(sock: socket.socket, end_s: float) -> None:
        sock.sendall(first())
        while time.monotonic() < end_s:
            sock.sendall(block)

    return send


def _send_legal_heads(sock: socket.socket, end_s: float) -> None:
    while time.monotonic() < end_s:
        sock.sendall(b"".join(legal_head() for _ in range(4)))


def _send_abandoned_bookings(sock: socket.socket, _end_s: float) -> None:
    start = legal_head(b"POST", b"/book/1")
    sock.sendall(start[:-2] + b"Content-Length: 0\r\n\r\n")


def _send_large_heartbeats(sock: socket.socket, end_s: float) -> None:
    start = b"PUT /instances/i-n0 HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"
    sock.sendall(start)
    while time.monotonic() < end_s:
        sock.sendall(b"x" * _BODY_BYTES + start)


def _hold_part_of_head(sock: socket.socket, _end_s: float) -> None:
    sock.sendall(head() + _LINE * 2_000)
    sock.recv(1)


def _hold_body(sock: socket.socket, _end_s: float) -> None:
    """Send all of a body but its last byte."""
    sock.sendall(head(b"POST") + b"Content-Length: %d\r\n\r\n" % _BODY_BYTES)
    sock.sendall(b"x" * (_BODY_BYTES - 1))
    sock.recv(1)


def _drip_body(sock: socket.socket, end_s: float) -> None:
    """Send half of a body, then a byte now and then."""
    sock.sendall(head(b"POST") + b"Content-Length: %d\r\n\r\n" % _BODY_BYTES)
    sock.sendall(b"x" * (_BODY_BYTES // 2))
    while time.monotonic() < end_s:
        time.sleep(_DRIP_INTERVAL_S)
        sock.sendall(b"x")


def _take_no_answers(path: bytes) -> Sender:
    def send(sock: socket.socket, end_s: float) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        while time.monotonic() < end_s:
            requests = (head(path=path) + b"\r\n" for _ in range(100))
            sock.sendall(b"".join(requests))

    return send


def _scrape(sock: socket.socket, end_s: float) -> None:
    """Request the metrics without end and take the answers."""
    while time.monotonic() < end_s:
        sock.sendall(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
        if not sock.recv(_BLOCK):
            return


def hold_nothing(sock: socket.socket, _end_s: float) -> None:
    """Wait for the connection to be closed."""
    sock.recv(1)


SENDERS_BY_KIND: dict[str, Sender] = {
    "legal heads of short lines": _send_legal_heads,
    "bookings that nobody waits for": _send_abandoned_bookings,
    "lines with odd names and no values": repeat(
        head, b"!:\r\n~:\r\n" * (_BLOCK // 8)
    ),
    "heads over the limit": repeat(head, _LINE * (_BLOCK // len(_LINE))),
    "a header value without end": repeat(
        lambda: head() + b"X-Long: ", b"x" * _BLOCK
    ),
    "a target without end": repeat(lambda: b"GET /x/", b"x" * _BLOCK),
    "empty lines without end": repeat(lambda: b"", b"\r\n" * (_BLOCK // 2)),
    "trailers without end": repeat(
        lambda: head(b"POST") + _CHUNKED + b"0\r\n",
        _LINE * (_BLOCK // len(_LINE)),
    ),
    "chunk extensions without end": repeat(
        lambda: head(b"POST") + _CHUNKED + b"1;", b"x" * _BLOCK
    ),
    "bodies in one-byte chunks": repeat(
        lambda: head(b"POST") + _CHUNKED, b"1\r\nx\r\n" * (_BLOCK // 6)
    ),
    "bodies in one-byte chunks on 400 connections": repeat(
        lambda: head(b"POST") + _CHUNKED, b"1\r\nx\r\n" * (_BLOCK // 6)
    ),
    "bodies without their last byte on 400 connections": _hold_body,
    "bodies that drip on 400 connections": _drip_body,
    "tiny requests without end": repeat(
        lambda: b"", b"GET /y HTTP/1.1\r\n\r\n" * (_BLOCK // 19)
    ),
    "requests whose answers nobody takes": _take_no_answers(b"/x/large"),
    "requests whose answers nobody takes on 400 connections": _take_no_answers(
        b"/x/large"
    ),
    "scrapes whose answers nobody takes": _take_no_answers(b"/metrics"),
    "scrapes on 400 connections": _scrape,
    "parts of heads on 400 connections": _hold_part_of_head,
    "nothing on 400 connections": hold_nothing,
    "large heartbeats": _send_large_heartbeats,
}


class Watch:
    """Samples the open descriptors of processes until it is stopped.

    Attributes:
        descriptors: The most that one process had open.
    """

    def __init__(self, pids: abc.Callable[[], abc.Iterable[int]]) -> None:
        self.descriptors = 0
        self._pids = pids
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sample)

    def __enter__(self) -> "Watch":
        """Begin to sample."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop sampling."""
        self._stopped.set()
        self._thread.join()

    def _sample(self) -> None:
        while not self._stopped.wait(_SAMPLE_INTERVAL_S):
            for pid in self._pids():
                with contextlib.suppress(OSError):
                    self.descriptors = max(
                        self.descriptors, descriptor_count(pid)
                    )


class Crowd:
    """Clients that send to one address at the same time.

    Args:
        name: Kind of the crowd; it has 400 clients if the name says so.
    """

    def __init__(
        self,
        address: str,
        name: str,
        send: Sender,
        duration_s: float = _CROWD_S,
    ) -> None:
        self._end_s = time.monotonic() + duration_s
        self._sockets: set[socket.socket] = set()
        self._problems: list[Exception] = []
        count = MANY_CONNECTIONS if "connections" in name else CROWD
        self._threads = [
            threading.Thread(target=self._run, args=(address, send))
            for _ in range(count)
        ]

    def start(self) -> None:
        """Start all clients."""
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """Wait until the time is over.

        Raises:
            Exception: A client failed by other than its connection.
        """
        for thread in self._threads:
            thread.join()
        if self._problems:
            raise self._problems[0]

    def stop(self) -> None:
        """Let the clients end at once."""
        self._end_s = 0.0
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.join()

    def _run(self, address: str, send: Sender) -> None:
        try:
            self._send(address, send)
        except Exception as exc:
            self._problems.append(exc)

    def _send(self, address: str, send: Sender) -> None:
        """Send on one connection after the other until the end."""
        host, _, port = address.rpartition(":")
        while (end_s := self._end_s) > time.monotonic():
            with (
                contextlib.suppress(OSError),
                socket.create_connection((host, int(port)), 0.5) as sock,
            ):
                sock.settimeout(max(0.01, end_s - time.monotonic()))
                self._sockets.add(sock)
                try:
                    send(sock, end_s)
                finally:
                    self._sockets.discard(sock)
            time.sleep(0.002)


def check_bounds(
    processes: abc.Sequence[subprocess.Popen],
    descriptors: int,
    limit_mb: int,
    limit_descriptors: int,
) -> None:
    """Check that processes live and stayed within their bounds.

    Args:
        descriptors: The most that one of them had open.

    Raises:
        AssertionError: One has ended or exceeded a bound.
    """
    codes = [process.poll() for process in processes]
    assert codes == [None] * len(processes), codes
    peaks_mb = [round(peak_mb(process.pid)) for process in processes]
    seen = f"{peaks_mb} MB, {descriptors} descriptors"
    print(seen)
    assert max(peaks_mb) <= limit_mb, seen
    assert descriptors <= limit_descriptors, seen


def peak_mb(pid: int) -> float:
    """Return the highest resident memory of a process in MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in text.splitlines())
    return int(fields["VmHWM"].split()[0]) / 1_000


def descriptor_count(pid: int) -> int:
    """Return the number of descriptors that a process has open."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))
