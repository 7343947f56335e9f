"""Logs unexpected exceptions where one of them must not end a loop."""

from collections import abc
import contextlib
import logging
import traceback

from arbutusstall import errors

LOG = logging.getLogger(__name__)


@contextlib.contextmanager
def logged(step: str) -> abc.Iterator[None]:
    """Log an exception that is raised inside, and end the block.

    Args:
        step: What failed, for the log line.
    """
    try:
        yield
    except Exception as exc:
        log(step, exc)


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
