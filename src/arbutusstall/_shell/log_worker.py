"""Threads that read and append to the platform log."""

from concurrent import futures
import random
import threading
from typing import Protocol

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._log import client
from arbutusstall._log import pacing
from arbutusstall._log import pending
from arbutusstall._log import records
from arbutusstall._shell import failures

_APPENDER_COUNT = 2


class EventSink(Protocol):
    """Accepts events from any thread."""

    def put(self, event: _effects.Event) -> None:
        """Queue an event; thread-safe."""
        ...


class LogWorker:
    """Executes the log effects of a core.

    A thread pool appends records, another thread reads the log. The
    results are queued as events.
    """

    def __init__(
        self,
        log: client.LogClient,
        settings: _settings.LogSettings,
        sink: EventSink,
        clock: _clock.Clock | None = None,
    ) -> None:
        self._log = log
        self._settings = settings
        self._sink = sink
        self._clock = clock or _clock.SystemClock()
        self._rng = random.Random()
        self._pending = pending.PendingAppends(
            limit=settings.pending_appends,
            bound_s=settings.append_bound_s,
            base_s=settings.retry_base_s,
            cap_s=settings.retry_cap_s,
            rng=self._rng,
        )
        self._changed = threading.Condition()
        self._stopped = False
        self._appenders = futures.ThreadPoolExecutor(
            max_workers=_APPENDER_COUNT
        )
        for _ in range(_APPENDER_COUNT):
            self._appenders.submit(self._run_appender)
        self._stop_reading = threading.Event()
        self._reader: threading.Thread | None = None

    def follow(self, effect: _effects.FollowLog) -> None:
        """Start to read the log from the effect's offset on."""
        self.stop_reading()
        self._stop_reading = threading.Event()
        self._reader = threading.Thread(
            target=self._read,
            args=(effect.offset, effect.era, self._stop_reading),
            daemon=True,
        )
        self._reader.start()

    def stop_reading(self, effect: _effects.StopLog | None = None) -> None:
        """Stop the reading thread after its current request."""
        self._stop_reading.set()

    def append(self, effect: _effects.Append) -> None:
        """Append a record in the background.

        Retries until the log confirms the append, its time limit passes
        or a newer record replaces it.
        """
        with self._changed:
            taken = self._pending.add(effect.record, self._now_s(), effect.era)
            self._changed.notify()
        if not taken:
            self._give_up(effect.record, "too many appends are pending")

    def stop(self) -> None:
        """Stop all threads after their current requests."""
        self._stop_reading.set()
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
        self._appenders.shutdown(wait=False)

    def _run_appender(self) -> None:
        while True:
            item = self._next_append()
            if item is None:
                return
            self._append(item)

    def _next_append(self) -> pending.PendingAppend | None:
        with self._changed:
            while not self._stopped:
                item = self._pending.take(self._now_s())
                if item is not None:
                    return item
                self._changed.wait(self._pending.wait_s(self._now_s()))
        return None

    def _append(self, item: pending.PendingAppend) -> None:
        record = item.record
        try:
            offset = self._log.append(records.encode(record, item.era))
        except Exception as exc:
            if not isinstance(exc, errors.LogUnavailable):
                failures.log("log.append", exc)
            with self._changed:
                kept = self._pending.failed(item, self._now_s())
                self._changed.notify()
            if not kept:
                self._give_up(record, failures.describe(exc))
            return
        with self._changed:
            self._pending.answered(item)
        self._sink.put(_effects.Appended(offset=offset, record=record))

    def _give_up(self, record: records.Record, reason: str) -> None:
        self._sink.put(_effects.LogFailed(reason=reason, record=record))

    def _read(self, offset: int, era: int, stop: threading.Event) -> None:
        wait_s = 0.0
        failed = 0
        while not stop.is_set():
            began_s = self._now_s()
            try:
                answer = self._log.read(offset, wait_s)
            except Exception as exc:
                if not isinstance(exc, errors.LogUnavailable):
                    failures.log("log.read", exc)
                self._sink.put(
                    _effects.LogFailed(reason=failures.describe(exc))
                )
                stop.wait(pacing.backoff_s(self._settings, failed, self._rng))
                failed += 1
                continue
            failed = 0
            wait_s = self._settings.poll_s
            if 0 < era < answer.era:
                # The offset belongs to the earlier era.
                self._sink.put(
                    _effects.StoreEraChanged(era=answer.era, before=era)
                )
                era = answer.era
                offset = 0
                wait_s = 0.0
                continue
            era = max(era, answer.era)
            offset = _next_offset(offset, answer)
            self._sink.put(answer)
            stop.wait(
                pacing.read_pause_s(self._settings, began_s, self._now_s())
            )

    def _now_s(self) -> float:
        return self._clock.now().mono_s


def _next_offset(offset: int, answer: _effects.LogRead) -> int:
    if answer.entries:
        return answer.entries[-1].offset + 1
    # An empty answer leaves the offset unchanged, unless the log has
    # deleted the entries from ``offset`` on meanwhile.
    return max(offset, min(answer.first_kept, answer.next_offset))
