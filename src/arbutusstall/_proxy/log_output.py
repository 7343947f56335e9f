"""Non-blocking log output with a bounded queue and rate limits.

Lines are queued in memory until the event loop writes them. Lines are
dropped if the output is not read or if one kind of event is too frequent;
separate lines report how many were dropped, by event, reason and peer.
"""

import asyncio
import collections
import logging
import os

import logfmter
import prometheus_client

from arbutusstall._proxy import dropped_lines

_DROPPED = prometheus_client.Counter(
    "arbutusstall_log_lines_dropped", "Log lines that were left out."
)

_MAX_QUEUED_LINES = 5_000
_FLUSH_INTERVAL_S = 0.1
_REPORT_INTERVAL_S = 1.0
_MAX_WRITE_BYTES = 64 * 1024
_MAX_BURST_LINES = 100.0
_MAX_LINES_PER_S = 20.0


class TokenBucket:
    """Limits lines to a burst followed by a constant rate."""

    def __init__(self, now_s: float) -> None:
        self._tokens = _MAX_BURST_LINES
        self._filled_s = now_s

    def take(self, now_s: float) -> bool:
        """Take a token; false if there is none."""
        refill = (now_s - self._filled_s) * _MAX_LINES_PER_S
        self._tokens = min(_MAX_BURST_LINES, self._tokens + refill)
        self._filled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes records as key=value lines to a non-blocking descriptor.

    Attributes:
        dropped_total: Lines dropped since the start.
    """

    def __init__(self, fd: int, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self.dropped_total = 0
        self._dropped = dropped_lines.DroppedLines()
        self._reported_s = loop.time()
        self._fd = fd
        self._loop = loop
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._buckets_by_event: dict[str, TokenBucket] = {}
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(fd, False)
        self.setFormatter(
            logfmter.Logfmter(
                keys=["at", "ts"],
                mapping={"at": "levelname", "ts": "created"},
            )
        )

    @property
    def has_unreported(self) -> bool:
        """Whether lines were dropped that no line has reported yet."""
        return bool(self._dropped)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the line of a record, or count it as dropped; thread-safe."""
        if not self._allows(record):
            self._dropped.add(record)
            self.dropped_total += 1
            _DROPPED.inc()
            return
        self._lines.append(self.format(record).encode() + b"\n")
        if self._timer is None and not self._loop.is_closed():
            # Records may come from any thread.
            self._loop.call_soon_threadsafe(self._schedule)

    def _schedule(self) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(_FLUSH_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Write as many lines as the descriptor accepts now."""
        self._timer = None
        self._report_dropped()
        while self._lines or self._unwritten:
            data = self._unwritten
            while self._lines and len(data) < _MAX_WRITE_BYTES:
                data += self._lines.popleft()
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the output for good.
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = data[written:]
            if self._unwritten:
                break
        pending = self._unwritten or self._lines or self._dropped
        if pending and not self._loop.is_closed():
            self._timer = self._loop.call_later(_FLUSH_INTERVAL_S, self.flush)

    def _report_dropped(self) -> None:
        """Queue lines on what was dropped, at most once in an interval."""
        now_s = self._loop.time()
        if not self._dropped or now_s - self._reported_s < _REPORT_INTERVAL_S:
            return
        if len(self._lines) >= _MAX_QUEUED_LINES:
            return
        self._reported_s = now_s
        for count in self._dropped.take():
            self._lines.append(self._format(count.fields))

    def _format(self, fields: dict[str, str | int]) -> bytes:
        record = logging.LogRecord(
            "arbutusstall", logging.INFO, "", 0, fields, None, None
        )
        return self.format(record).encode() + b"\n"

    def _allows(self, record: logging.LogRecord) -> bool:
        if len(self._lines) >= _MAX_QUEUED_LINES:
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
    """Send the package's log lines to ``fd``; needs a running event loop.

    Replaces the handlers of the package's logger.
    """
    handler = BoundedHandler(fd, asyncio.get_running_loop())
    log = logging.getLogger("arbutusstall")
    log.handlers[:] = [handler]
    log.propagate = False
    log.setLevel(level)
    return handler
