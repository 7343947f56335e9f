"""Log lines on standard output, bounded and without blocking.

Lines are kept in memory until the event loop writes them. When nobody
reads the output, or one kind of event comes too often, lines are
dropped; how many is said in a line of its own.
"""

import asyncio
import collections
import logging
import os

import logfmter
import prometheus_client

_DROPPED = prometheus_client.Counter(
    "arbutusstall_log_lines_dropped", "Log lines that were left out."
)

_MOST_LINES = 5_000
_FLUSH_S = 0.1
_WRITE_BYTES = 64 * 1024
_BURST_LINES = 100.0
_LINES_PER_S = 20.0


class TokenBucket:
    """Allows a burst of lines and then a steady rate."""

    def __init__(self, now_s: float) -> None:
        self._tokens = _BURST_LINES
        self._filled_s = now_s

    def take(self, now_s: float) -> bool:
        """Take one token; false if there is none."""
        grown = (now_s - self._filled_s) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + grown)
        self._filled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes records as key=value lines to a file descriptor.

    Attributes:
        dropped: Lines left out since a line said how many.
        dropped_total: Lines left out since the start.
    """

    def __init__(self, fd: int, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self.dropped = 0
        self.dropped_total = 0
        self._fd = fd
        self._loop = loop
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self._buckets_by_event: dict[str, TokenBucket] = {}
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(fd, False)
        self.setFormatter(
            logfmter.Logfmter(
                keys=["at", "ts"],
                mapping={"at": "levelname", "ts": "created"},
            )
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the line of a record, or count it as dropped."""
        if not self._allows(record):
            self.dropped += 1
            self.dropped_total += 1
            _DROPPED.inc()
            return
        self._lines.append(self.format(record).encode() + b"\n")
        if self._timer is None and not self._loop.is_closed():
            # Records may come from any thread.
            self._loop.call_soon_threadsafe(self._schedule)

    def _schedule(self) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(_FLUSH_S, self.flush)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        self._timer = None
        if self.dropped and len(self._lines) < _MOST_LINES:
            text = f"event=lines-dropped count={self.dropped}\n"
            self._lines.append(text.encode())
            self.dropped = 0
        while self._lines or self._rest:
            data = self._rest
            while self._lines and len(data) < _WRITE_BYTES:
                data += self._lines.popleft()
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody will ever read the output.
                self._lines.clear()
                self._rest = b""
                return
            self._rest = data[written:]
            if self._rest:
                break
        if (self._rest or self._lines) and not self._loop.is_closed():
            self._timer = self._loop.call_later(_FLUSH_S, self.flush)

    def _allows(self, record: logging.LogRecord) -> bool:
        if len(self._lines) >= _MOST_LINES:
            return False
        event = ""
        if isinstance(record.msg, dict):
            event = str(record.msg.get("event", ""))
        now_s = self._loop.time()
        bucket = self._buckets_by_event.get(event)
        if bucket is None:
            bucket = self._buckets_by_event[event] = TokenBucket(now_s)
        return bucket.take(now_s)


def configure(level: str, fd: int) -> BoundedHandler:
    """Send the package's log lines to ``fd``; needs a running loop."""
    handler = BoundedHandler(fd, asyncio.get_running_loop())
    log = logging.getLogger("arbutusstall")
    log.handlers[:] = [handler]
    log.propagate = False
    log.setLevel(level)
    return handler
