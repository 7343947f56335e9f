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
from arbutusstall._shell import failures

LOG = logging.getLogger(__name__)

# One reads continuously, one reports, one does single reads.
_THREADS = 3


class SourceWorker:
    """Follows a source while the node reads the log, and reports rollouts.

    Args:
        put: Queues the events; called from the worker's threads.
        poll_s: Maximum time that a read waits for something new; None for
            that of the settings.
    """

    def __init__(
        self,
        source: sources.Source,
        settings: _settings.LogSettings,
        put: abc.Callable[[_effects.Event], None],
        poll_s: float | None = None,
    ) -> None:
        self._source = source
        self._settings = settings
        self._put = put
        self._poll_s = settings.poll_s if poll_s is None else poll_s
        self._single_position: int | None = None
        self._single_era = 0
        self._is_single_running = False
        self._rng = random.Random()
        self._stop = threading.Event()
        self._stopped = threading.Event()
        self._pool = futures.ThreadPoolExecutor(max_workers=_THREADS)
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

    def read_once(self, effect: _effects.ReadSource) -> None:
        """Read the source once, unless such a read is running."""
        with self._lock:
            if self._is_single_running:
                return
            self._is_single_running = True
            if effect.position is not None:
                self._single_position = effect.position
                self._single_era = effect.era
        self._pool.submit(self._read_single)

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
        failed = 0
        position: int | None = None
        era = 0
        pause_s = 0.0
        while not stop.is_set():
            began_s = _clock.steady_s()
            wait_s = pacing.read_wait_s(self._settings, self._poll_s, pause_s)
            try:
                read = self._read_from(position, wait_s)
            except errors.LogUnavailable as exc:
                position = _position_after(position, exc)
                pause_s = 0.0
                if not failed:
                    self._report_availability(
                        available=False, reason=exc.reason
                    )
                stop.wait(self._backoff_s(failed))
                failed += 1
                continue
            if failed:
                self._report_availability(available=True)
            failed = 0
            is_new_era = bool(era) and read.era > era
            if is_new_era:
                self._put(_effects.StoreEraChanged(era=read.era, before=era))
            era = max(era, read.era)
            if is_new_era and position is not None:
                # What the position stood for in the earlier era is gone.
                position = None
                continue
            waited_s = wait_s if position is not None else 0.0
            position = read.position
            self._put_all(read, waited_s, with_orders=True)
            pause_s = pacing.read_pause_s(
                self._settings, began_s, _clock.steady_s()
            )
            stop.wait(pause_s)

    def _read_single(self) -> None:
        try:
            read = self._read_from(self._single_position, 0.0)
        except errors.LogUnavailable as exc:
            LOG.info({"event": "source-not-read", "reason": exc.reason})
            self._single_position = _position_after(self._single_position, exc)
        else:
            is_same_era = read.era == self._single_era
            self._single_era = read.era
            if self._single_position is not None and not is_same_era:
                # The positions of another era mean other records.
                self._single_position = None
                return
            self._single_position = read.position
            # Orders are for the nodes that follow the source.
            self._put_all(read, 0.0, with_orders=False)
        finally:
            self._is_single_running = False

    def _put_all(
        self, read: sources.SourceRead, wait_s: float, *, with_orders: bool
    ) -> None:
        # A node serves once it has a configuration, so it learns of the
        # evacuations before.
        if read.evacuations is not None:
            self._put(_effects.EvacuationsRead(register=read.evacuations))
        for event in read.events:
            if with_orders or not isinstance(event, _effects.Ordered):
                self._put(event)
        if read.sent_s is not None:
            self._put(
                _effects.SourceConfirmed(
                    sent_s=read.sent_s,
                    # The source answers no later than after the wait, however
                    # long the answer took to arrive.
                    checked_s=min(read.sent_s + wait_s, _clock.steady_s()),
                    position=read.position,
                    era=read.era,
                )
            )

    def _read_from(
        self, position: int | None, wait_s: float
    ) -> sources.SourceRead:
        """Read from a position, or all without one.

        Raises:
            LogUnavailable: The source did not answer, or its answer cannot
                be processed.
        """
        try:
            if position is None:
                return self._source.read_all()
            return self._source.read_from(position, wait_s)
        except errors.LogUnavailable:
            raise
        except Exception as exc:
            failures.log("source.read", exc)
            raise errors.PositionLost(
                step="source.read", peer="-", reason=failures.describe(exc)
            ) from exc

    def _report_availability(
        self, *, available: bool, reason: str = ""
    ) -> None:
        self._put(_effects.SourceChanged(available=available, reason=reason))

    def _report(self, report: _effects.ReportRollout) -> None:
        failed = 0
        while not self._stopped.is_set():
            with self._lock:
                newest = self._newest_by_service[report.service]
            if newest is not report:
                return
            try:
                self._report_once(report)
            except errors.LogUnavailable as exc:
                LOG.warning(
                    {
                        "event": "rollout-not-reported",
                        "service": report.service,
                        "failures": failed + 1,
                        "reason": exc.reason,
                    }
                )
                self._stopped.wait(self._backoff_s(failed))
                failed += 1
                continue
            return

    def _report_once(self, report: _effects.ReportRollout) -> None:
        try:
            self._source.report(report)
        except errors.LogUnavailable:
            raise
        except Exception as exc:
            failures.log("source.report", exc)
            raise errors.LogUnavailable(
                step="source.report", peer="-", reason=failures.describe(exc)
            ) from exc

    def _backoff_s(self, failed: int) -> float:
        return pacing.backoff_s(self._settings, failed, self._rng)


def _position_after(
    position: int | None, problem: errors.LogUnavailable
) -> int | None:
    """Return where to read on after a failure.

    A read of everything may be large, so that it is done only if the
    position cannot be used.
    """
    return None if isinstance(problem, errors.PositionLost) else position
