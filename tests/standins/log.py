"""Stand-in for the platform log.

Usage: python -m standins.log PORT [KEEP_S [RATE]]. Faults are set by
``POST /faults`` with a JSON object of `Faults` fields.
"""

import dataclasses
import sys
import threading
import time

import msgspec
from werkzeug import serving
from werkzeug import wrappers


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Injected faults.

    Attributes:
        out: Answer every request with 503.
        delay_s: Delay of each answer in seconds.
        lose_answers: Store appended records but answer 504.
        out_after: Answer 503 after this number of appends; 0 for never.
        expired_to: Records before this offset have expired.
    """

    out: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False
    out_after: int = 0
    expired_to: int = 0


class Log:
    """Keeps records in memory for ``keep_s`` seconds.

    Args:
        rate: Maximum number of appends per second.

    Attributes:
        faults: The faults in force.
        appends: Number of records stored.
        reads: Number of reads.
    """

    def __init__(self, keep_s: float, rate: int) -> None:
        self.faults = Faults()
        self.appends = 0
        self.reads = 0
        self._keep_s = keep_s
        self._rate = rate
        self._first = 0
        self._entries: list[tuple[float, str]] = []
        self._window = (0, 0)
        self._changed = threading.Condition()

    def append(self, data: str) -> int | None:
        """Store a record and return its offset; None if over the rate."""
        with self._changed:
            second = int(time.monotonic())
            count = self._window[1] if self._window[0] == second else 0
            if count >= self._rate:
                return None
            self._window = (second, count + 1)
            self.appends += 1
            self._entries.append((time.monotonic(), data))
            self._changed.notify_all()
            return self._first + len(self._entries) - 1

    def read(self, offset: int, wait_s: float) -> dict[str, object]:
        """Return the entries from ``offset`` on; wait for the first one."""
        end_s = time.monotonic() + wait_s
        with self._changed:
            self.reads += 1
            while self._next() <= offset:
                left_s = end_s - time.monotonic()
                if left_s <= 0:
                    break
                self._changed.wait(left_s)
            self._expire()
            start = max(offset, self._first)
            found = self._entries[start - self._first :][:1000]
            return {
                "first_kept": self._first,
                "next_offset": self._next(),
                "entries": [
                    {"offset": start + index, "data": data}
                    for index, (_, data) in enumerate(found)
                ],
            }

    def counts(self) -> dict[str, int]:
        """Return the numbers of requests, and the first and next offset."""
        with self._changed:
            self._expire()
            return {
                "appends": self.appends,
                "reads": self.reads,
                "first_kept": self._first,
                "next_offset": self._next(),
            }

    def _next(self) -> int:
        return self._first + len(self._entries)

    def _expire(self) -> None:
        oldest_s = time.monotonic() - self._keep_s
        expired = 0
        for stored_s, _ in self._entries:
            is_forced = self._first + expired < self.faults.expired_to
            if stored_s >= oldest_s and not is_forced:
                break
            expired += 1
        del self._entries[:expired]
        self._first += expired


class App:
    """HTTP interface of the log."""

    def __init__(self, log: Log) -> None:
        self._log = log

    def __call__(self, environ, start_response):
        """Answer one request (WSGI)."""
        request = wrappers.Request(environ)
        return self._answer(request)(environ, start_response)

    def _answer(self, request):
        if request.path == "/faults":
            self._log.faults = msgspec.json.decode(
                request.get_data(), type=Faults
            )
            return wrappers.Response("ok\n")
        if request.path == "/counts":
            return _json(self._log.counts())
        faults = self._log.faults
        time.sleep(faults.delay_s)
        if self._is_out():
            return wrappers.Response("out\n", 503)
        if request.method == "POST":
            return self._append(request, faults)
        offset = request.args.get("from", 0, type=int)
        wait_ms = request.args.get("wait_ms", 0, type=int)
        answer = self._log.read(offset, wait_ms / 1000)
        if self._is_out():
            return wrappers.Response("out\n", 503)
        return _json(answer)

    def _is_out(self) -> bool:
        faults = self._log.faults
        return faults.out or 0 < faults.out_after <= self._log.appends

    def _append(self, request, faults):
        offset = self._log.append(request.get_data(as_text=True))
        if offset is None:
            return wrappers.Response("too many appends\n", 429)
        if faults.lose_answers:
            return wrappers.Response("lost\n", 504)
        return _json({"offset": offset})


def _json(body):
    return wrappers.Response(
        msgspec.json.encode(body), content_type="application/json"
    )


class _Handler(serving.WSGIRequestHandler):
    protocol_version = "HTTP/1.1"

    def log(self, type, message, *args):
        """Write no access log."""


def main() -> None:
    """Serve until killed."""
    port, keep_s, rate = (sys.argv[1:] + ["3600", "300"])[:3]
    log = Log(float(keep_s), int(rate))
    serving.run_simple(
        "127.0.0.1",
        int(port),
        App(log),
        threaded=True,
        request_handler=_Handler,
    )


if __name__ == "__main__":
    main()
