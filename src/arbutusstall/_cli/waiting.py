"""Waits until a version is in force on every node."""

from collections import abc
import dataclasses
import time

import msgspec

from arbutusstall import errors
from arbutusstall._log import client
from arbutusstall._log import reader
from arbutusstall._shell import http
from arbutusstall._tables import agreed

_POLL_S = 0.1
_REREAD_S = 2.0
_ROOT_TIMEOUT_S = 2.0
_MESH = "mesh"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Progress:
    """How far a version is.

    Attributes:
        known: Nodes that the first reachable root knows.
        in_force: Those that have the version, or a newer one.
        lacking: Names of some nodes that lack it.
        unreachable: Root nodes that did not answer.
    """

    in_force: int = 0
    known: int = 0
    lacking: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()

    @property
    def everywhere(self) -> bool:
        """Whether every node has it."""
        return self.in_force == self.known > 0

    def line(self) -> str:
        """Return the progress as one line."""
        text = f"in force on {self.in_force} of {self.known} nodes"
        if self.unreachable:
            text += f"; no answer from {', '.join(self.unreachable)}"
        return text

    def verdict(self) -> str:
        """Return who lacks the version, as one line."""
        text = f"not in force everywhere in time: {self.line()}"
        if self.lacking:
            text += f"; lacking: {', '.join(self.lacking)}"
        return text


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Status:
    version: int
    known: int
    in_force: int
    scope: str
    lacking: tuple[str, ...] = ()


def watch(
    log: client.LogClient,
    state: agreed.Agreed,
    version: int,
    limit_s: float,
) -> abc.Iterator[Progress]:
    """Yield the progress whenever it changes, until it is complete.

    Args:
        log: Tells which nodes are roots now.
        state: The agreed state to begin with.
        version: The version that is awaited.
        limit_s: Time after which the last progress stands.
    """
    end_s = time.monotonic() + limit_s
    reread_s = time.monotonic() + _REREAD_S
    last = None
    while True:
        progress = ask(state, version)
        if progress != last:
            yield progress
        last = progress
        if progress.everywhere or time.monotonic() >= end_s:
            return
        time.sleep(_POLL_S)
        if time.monotonic() >= reread_s:
            state = _reread(log, state)
            reread_s = time.monotonic() + _REREAD_S


def ask(state: agreed.Agreed, version: int) -> Progress:
    """Ask the roots how far ``version`` is; each sums up the mesh."""
    progress = Progress()
    for root in state.roots_by_key.values():
        status = _status(root.admin)
        if status is None or status.scope != _MESH:
            progress = dataclasses.replace(
                progress, unreachable=(*progress.unreachable, root.node)
            )
            continue
        reached = status.version >= version
        return dataclasses.replace(
            progress,
            known=status.known,
            in_force=status.in_force if reached else 0,
            lacking=status.lacking if reached else (root.node,),
        )
    return progress


def _reread(log: client.LogClient, state: agreed.Agreed) -> agreed.Agreed:
    try:
        return reader.read_agreed(log, state)
    except errors.LogUnavailable:
        return state


def _status(admin: str) -> _Status | None:
    request = http.Request(
        method="GET",
        url=f"http://{admin}/v1/status",
        timeout_s=_ROOT_TIMEOUT_S,
    )
    try:
        response = http.send(request)
        return msgspec.json.decode(response.body, type=_Status)
    except (errors.ArbutusstallError, msgspec.MsgspecError):
        return None
