"""Threads that read and append to the platform log."""

from concurrent import futures
import threading
import time

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._log import client
from arbutusstall._log import records
from arbutusstall._shell import control

_RETRY_S = 0.25


class LogWorker:
    """Carries out the log effects of a core."""

    def __init__(
        self,
        log: client.LogClient,
        settings: _settings.LogSettings,
        loop: control.ControlLoop,
    ) -> None:
        self._log = log
        self._settings = settings
        self._loop = loop
        self._appends = futures.ThreadPoolExecutor(max_workers=2)
        self._stop_reading = threading.Event()
        self._reader: threading.Thread | None = None

    def follow(self, effect: _effects.FollowLog) -> None:
        """Read continuously from the effect's offset on."""
        self.stop_reading()
        self._stop_reading = threading.Event()
        self._reader = threading.Thread(
            target=self._read,
            args=(effect.offset, self._stop_reading),
            daemon=True,
        )
        self._reader.start()

    def stop_reading(self, effect: _effects.StopLog | None = None) -> None:
        """End the reading thread after its current request."""
        self._stop_reading.set()

    def append(self, effect: _effects.Append) -> None:
        """Append a record in the background, once."""
        self._appends.submit(self._append, effect.record)

    def _append(self, record: records.Record) -> None:
        try:
            offset = self._log.append(records.encode(record))
        except errors.LogUnavailable as exc:
            self._loop.put(
                _effects.LogFailed(reason=exc.reason, record=record)
            )
            return
        self._loop.put(_effects.Appended(offset=offset, record=record))

    def _read(self, offset: int, stop: threading.Event) -> None:
        wait_s = 0.0
        while not stop.is_set():
            try:
                answer = self._log.read(offset, wait_s)
            except errors.LogUnavailable as exc:
                self._loop.put(_effects.LogFailed(reason=exc.reason))
                time.sleep(_RETRY_S)
                continue
            wait_s = self._settings.poll_s
            if answer.entries:
                offset = answer.entries[-1].offset + 1
            self._loop.put(answer)
