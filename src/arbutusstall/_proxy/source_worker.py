"""Threads that read an external configuration source and report to it."""

from collections import abc
from concurrent import futures
import logging
import random
import threading

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._log import pacing
from arbutusstall._log import source as sources

LOG = logging.getLogger(__name__)


class SourceWorker:
    """Follows a source while the node reads the log, and reports rollouts.

    Args:
        put: Queues the events; called from the worker's threads.
    """

    def __init__(
        self,
        source: sources.Source,
        settings: _settings.LogSettings,
        put: abc.Callable[[_effects.Event], None],
    ) -> None:
        self._source = source
        self._settings = settings
        self._put = put
        self._rng = random.Random()
        self._stop = threading.Event()
        self._stopped = threading.Event()
        self._pool = futures.ThreadPoolExecutor(max_workers=2)
        self._lock = threading.Lock()
        self._newest_by_service: dict[str, _effects.ReportRollout] = {}

    def follow(self, effect: _effects.FollowLog) -> None:
        """Start to read the source from the beginning."""
        self.stop_reading()
        self._stop = threading.Event()
        self._pool.submit(self._read, self._stop)

    def stop_reading(self, effect: _effects.StopLog | None = None) -> None:
        """Stop reading after the current request."""
        self._stop.set()

    def report(self, effect: _effects.ReportRollout) -> None:
        """Send a report; retry until it is stored or superseded."""
        with self._lock:
            self._newest_by_service[effect.service] = effect
        self._pool.submit(self._report, effect)

    def stop(self) -> None:
        """Stop all threads after their current requests."""
        self._stop.set()
        self._stopped.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _read(self, stop: threading.Event) -> None:
        failures = 0
        position: int | None = None
        while not stop.is_set():
            began_s = _clock.steady_s()
            try:
                if position is None:
                    read = self._source.read_all()
                else:
                    wait_s = self._settings.poll_s
                    read = self._source.read_from(position, wait_s)
            except errors.LogUnavailable as exc:
                position = None
                if not failures:
                    self._report_availability(
                        available=False, reason=exc.reason
                    )
                stop.wait(self._backoff_s(failures))
                failures += 1
                continue
            if failures:
                self._report_availability(available=True)
            failures = 0
            position = read.position
            for event in read.events:
                self._put(event)
            stop.wait(
                pacing.read_pause_s(self._settings, began_s, _clock.steady_s())
            )

    def _report_availability(
        self, *, available: bool, reason: str = ""
    ) -> None:
        self._put(_effects.SourceChanged(available=available, reason=reason))

    def _report(self, report: _effects.ReportRollout) -> None:
        failures = 0
        while not self._stopped.is_set():
            with self._lock:
                newest = self._newest_by_service[report.service]
            if newest is not report:
                return
            try:
                self._source.report(report)
            except errors.LogUnavailable as exc:
                LOG.warning(
                    {
                        "event": "rollout-not-reported",
                        "service": report.service,
                        "failures": failures + 1,
                        "reason": exc.reason,
                    }
                )
                self._stopped.wait(self._backoff_s(failures))
                failures += 1
                continue
            return

    def _backoff_s(self, failures: int) -> float:
        return pacing.backoff_s(self._settings, failures, self._rng)
