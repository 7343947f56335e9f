"""Takes changes of the settings file up, with a signal or without one."""

import asyncio
import dataclasses
import logging
import os
import pathlib

from arbutusstall import errors
from arbutusstall._shell import events
from arbutusstall.platform import settings as platform_settings

_CHECK_S = 2.0


class SettingsWatch:
    """Says what a changed file changes; a bad one is refused.

    The log level takes effect at once. Addresses and limits are read at
    the next start, and the line that reports the change says so.
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
        self._seen = self._stamp()

    def start(self) -> None:
        """Begin to look for silent changes."""
        if self._stamp() != self._seen:
            self.reload()
        asyncio.get_running_loop().call_later(_CHECK_S, self.start)

    def reload(self) -> None:
        """Read the file again."""
        self._seen = self._stamp()
        try:
            new = platform_settings.load(self._path)
        except errors.InvalidFile as exc:
            self._log.emit(
                "settings-refused", {"reason": exc.reason}, logging.WARNING
            )
            return
        changed = _changed(self._settings.node, new.node)
        self._settings = new
        events.LOG.setLevel(new.node.log_level)
        self._log.emit(
            "settings-reloaded",
            {"changed": ",".join(changed) or "-", "in_force": "next start"},
        )

    def _stamp(self) -> tuple[int, int]:
        try:
            found = os.stat(self._path)
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)


def _changed(old: object, new: object) -> list[str]:
    return [
        field.name
        for field in dataclasses.fields(old)  # type: ignore[arg-type]
        if getattr(old, field.name) != getattr(new, field.name)
    ]
