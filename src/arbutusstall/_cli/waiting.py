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

_POLL_INTERVAL_S = 0.1
_LOG_READ_INTERVAL_S = 2.0
_ROOT_TIMEOUT_S = 2.0
_MESH_SCOPE = "mesh"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Progress:
    """On how many nodes a version is in force.

    Attributes:
        known: Number of nodes that the first reachable root knows.
        in_force: Number of these that have the version or a newer one.
        lacking: Names of some of the other nodes.
        unreachable: Names of root nodes that did not answer.
    """

    in_force: int = 0
    known: int = 0
    lacking: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Whether the version is in force on every known node."""
        return self.in_force == self.known > 0

    def line(self) -> str:
        """Return the progress as one line of text."""
        text = f"in force on {self.in_force} of {self.known} nodes"
        if self.unreachable:
            text += f"; no answer from {', '.join(self.unreachable)}"
        return text

    def failure_line(self) -> str:
        """Return which nodes lack the version, as one line of text."""
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
    timeout_s: float,
) -> abc.Iterator[Progress]:
    """Yield the progress whenever it changes, until complete or timeout.

    Args:
        log: Read again at intervals, for the current roots.
        state: Agreed state with the roots to query first.
        version: The version to wait for.
        timeout_s: Time in seconds after which the generator ends.
    """
    end_s = time.monotonic() + timeout_s
    reread_s = time.monotonic() + _LOG_READ_INTERVAL_S
    last = None
    while True:
        progress = query_roots(state, version)
        if progress != last:
            yield progress
        last = progress
        if progress.is_complete or time.monotonic() >= end_s:
            return
        time.sleep(_POLL_INTERVAL_S)
        if time.monotonic() >= reread_s:
            state = _read_newer(log, state)
            reread_s = time.monotonic() + _LOG_READ_INTERVAL_S


def query_roots(state: agreed.Agreed, version: int) -> Progress:
    """Return the progress of ``version`` from the first root to answer.

    Each root has a summary of the whole mesh. Roots that do not answer, or
    whose summary covers less than the mesh, count as unreachable.
    """
    progress = Progress()
    for root in state.roots_by_key.values():
        status = _fetch_status(root.admin)
        if status is None or status.scope != _MESH_SCOPE:
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


def _read_newer(log: client.LogClient, state: agreed.Agreed) -> agreed.Agreed:
    try:
        return reader.read_agreed(log, state)
    except errors.LogUnavailable:
        return state


def _fetch_status(admin: str) -> _Status | None:
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
