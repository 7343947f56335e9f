"""Ends exchanges in which nothing arrives for too long.

An answer may be large and its link slow, so a limit of its whole time has
to be long. A peer that has gone silent is to be noticed much sooner.
"""

from collections import abc
import threading
import time


class WatchedExchange:
    """One exchange that is watched.

    Args:
        abort: Ends the exchange; called from the thread of the watch.
        limit_s: Maximum time between two arrivals, in seconds.

    Attributes:
        due_s: Monotonic time until which something has to arrive.
        has_stalled: Whether nothing had by then.
    """

    __slots__ = ("_limit_s", "abort", "due_s", "has_stalled")

    def __init__(
        self, abort: abc.Callable[[], None], limit_s: float, due_s: float
    ) -> None:
        self.abort = abort
        self.due_s = due_s
        self.has_stalled = False
        self._limit_s = limit_s

    def record_arrival(self) -> None:
        """Allow the limit from now on."""
        self.due_s = time.monotonic() + self._limit_s


class StallWatch:
    """Watches exchanges in one thread, which starts with the first."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._exchanges: set[WatchedExchange] = set()
        self._thread: threading.Thread | None = None

    def add(
        self,
        abort: abc.Callable[[], None],
        *,
        first_s: float,
        limit_s: float,
    ) -> WatchedExchange:
        """Watch an exchange from now on.

        Args:
            first_s: Maximum time until something arrives, in seconds.
            limit_s: Maximum time between two arrivals after that.
        """
        exchange = WatchedExchange(abort, limit_s, time.monotonic() + first_s)
        with self._changed:
            self._exchanges.add(exchange)
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, daemon=True)
                self._thread.start()
            self._changed.notify()
        return exchange

    def remove(self, exchange: WatchedExchange) -> None:
        """Watch an exchange no longer."""
        with self._changed:
            self._exchanges.discard(exchange)
            self._changed.notify()

    def _run(self) -> None:
        with self._changed:
            while True:
                now_s = time.monotonic()
                for exchange in list(self._exchanges):
                    if exchange.due_s <= now_s:
                        self._exchanges.discard(exchange)
                        exchange.has_stalled = True
                        exchange.abort()
                self._changed.wait(self._wait_s(now_s))

    def _wait_s(self, now_s: float) -> float | None:
        due = [exchange.due_s for exchange in self._exchanges]
        return max(0.0, min(due) - now_s) if due else None


WATCH = StallWatch()
"""The watch of this process."""
