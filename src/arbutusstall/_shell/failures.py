"""Logs unexpected exceptions where one of them must not end a loop."""

import contextlib
import logging
import traceback
import types

from arbutusstall import errors

LOG = logging.getLogger(__name__)


class Logged(contextlib.AbstractContextManager[None]):
    """Logs an exception that is raised inside, and ends the block.

    It guards each message of a call, so it is no generator, which would
    take several times as long.

    Args:
        step: What failed, for the log line.
    """

    __slots__ = ("_step",)

    def __init__(self, step: str) -> None:
        self._step = step

    def __enter__(self) -> None:
        """Begin the block."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: types.TracebackType | None,
    ) -> bool:
        """Log an exception, unless it ends the process."""
        if not isinstance(exc, Exception):
            return False
        log(self._step, exc)
        return True


def describe(exc: BaseException) -> str:
    """Return one line that says what went wrong."""
    if isinstance(exc, errors.ArbutusstallError):
        return exc.reason
    return f"{type(exc).__name__}: {exc}"


def log(step: str, exc: BaseException) -> None:
    """Write one line with the exception and the place that raised it."""
    frames = traceback.extract_tb(exc.__traceback__)
    raised_at = f"{frames[-1].name}:{frames[-1].lineno}" if frames else "-"
    LOG.error(
        {
            "event": "unexpected-error",
            "step": step,
            "reason": describe(exc),
            "raised_at": raised_at,
        }
    )
