"""Reloads the settings file, on request or after it has changed."""

import dataclasses
import logging
import os
import pathlib

from arbutusstall import errors
from arbutusstall._proxy import background
from arbutusstall._shell import events
from arbutusstall.platform import settings as platform_settings

_CHECK_INTERVAL_S = 2.0


class SettingsWatch:
    """Reloads a changed settings file and logs what differs.

    An invalid file is logged and has no effect. A new log level takes
    effect immediately. All other settings take effect at the next start
    of the node, which the logged event states. The event names only
    changed fields of `NodeSettings`.
    """

    def __init__(
        self,
        path: pathlib.Path,
        settings: platform_settings.PlatformSettings,
        log: events.EventLog,
    ) -> None:
        self._path = path
        self._settings = settings
        self._log = log
        self._loaded_stamp = self._file_stamp()
        self._checks = background.Periodic(
            "settings file", _CHECK_INTERVAL_S, self._check
        )

    def start(self) -> None:
        """Check now and periodically whether the file has changed."""
        self._checks.start()

    def _check(self) -> None:
        if self._file_stamp() != self._loaded_stamp:
            self.reload()

    def reload(self) -> None:
        """Load the file again, whether or not it has changed."""
        self._loaded_stamp = self._file_stamp()
        try:
            new = platform_settings.load(self._path)
        except errors.InvalidFile as exc:
            self._log.emit(
                "settings-refused", {"reason": exc.reason}, logging.WARNING
            )
            return
        changed = _changed_fields(self._settings.node, new.node)
        self._settings = new
        events.LOG.setLevel(new.node.log_level)
        self._log.emit(
            "settings-reloaded",
            {"changed": ",".join(changed) or "-", "in_force": "next start"},
        )

    def _file_stamp(self) -> tuple[int, int]:
        try:
            file_stat = os.stat(self._path)
        except OSError:
            return (0, 0)
        return (file_stat.st_mtime_ns, file_stat.st_size)


def _changed_fields(old: object, new: object) -> list[str]:
    return [
        field.name
        for field in dataclasses.fields(old)  # type: ignore[arg-type]
        if getattr(old, field.name) != getattr(new, field.name)
    ]
