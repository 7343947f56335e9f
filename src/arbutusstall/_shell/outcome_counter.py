"""Counts the outcomes of calls at the inbound proxy."""

import bisect
from collections import abc
import dataclasses
import threading

from arbutusstall import _effects
from arbutusstall._shell import failures
from arbutusstall._tables import outcomes
from arbutusstall._wire import messages

_FLUSH_INTERVAL_S = 0.25
_MAX_ROWS = 1_000
_SERVER_ERROR = 500


@dataclasses.dataclass(kw_only=True, slots=True)
class _Row:
    calls: int = 0
    failures: int = 0
    durations: list[int] = dataclasses.field(
        default_factory=lambda: list(outcomes.NO_DURATIONS)
    )


class OutcomeCounter:
    """Adds up outcomes and reports them at a fixed interval; thread-safe.

    `start` begins the periodic reports from a thread of its own; without
    it, `flush` reports the counts.

    Args:
        put: Queues the events; called from the counter's own thread or
            from the thread that calls `flush`.
    """

    def __init__(self, put: abc.Callable[[_effects.Observed], None]) -> None:
        self._put = put
        self._lock = threading.Lock()
        self._rows_by_key: dict[outcomes.OutcomeKey, _Row] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread that reports the counts."""
        self._thread.start()

    def stop(self) -> None:
        """Report the last counts and stop the thread."""
        self._stopped.set()
        self._thread.join(timeout=_FLUSH_INTERVAL_S * 4)

    def count(
        self,
        request: messages.CallRequest,
        answer: messages.CallAnswer,
        duration_s: float,
    ) -> None:
        """Count one call that was sent to the target.

        A call fails if the target accepts no connection, answers with a
        server error or breaks off the exchange. While the table is full,
        calls with a new key are not counted until the next report.

        Args:
            duration_s: Time from the start of the call to its end.
        """
        failed = (
            bool(answer.unknown or answer.not_run)
            or answer.status >= _SERVER_ERROR
        )
        key = outcomes.OutcomeKey(
            reporter="",
            incarnation=0,
            service=request.service,
            version=request.version,
            route=request.route,
        )
        bucket = bisect.bisect_left(outcomes.BOUNDS_MS, duration_s * 1000.0)
        with self._lock:
            row = self._rows_by_key.get(key)
            if row is None:
                if len(self._rows_by_key) >= _MAX_ROWS:
                    return
                row = self._rows_by_key[key] = _Row()
            row.calls += 1
            row.failures += failed
            row.durations[bucket] += 1

    def flush(self) -> None:
        """Report the counts since the last report, one event per key."""
        with self._lock:
            rows, self._rows_by_key = self._rows_by_key, {}
        for key, row in rows.items():
            self._put(
                _effects.Observed(
                    key=key,
                    added=outcomes.OutcomeCounts(
                        calls=row.calls,
                        failures=row.failures,
                        durations=tuple(row.durations),
                    ),
                )
            )

    def _run(self) -> None:
        while not self._stopped.wait(_FLUSH_INTERVAL_S):
            with failures.Logged("outcome counts"):
                self.flush()
        self.flush()
