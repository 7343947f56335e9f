"""Runs a node with the mechanism behind one invariant disabled.

Usage: python -m mutant NAME run --settings FILE. The mechanism is
replaced at run time in this process only.
"""

import dataclasses
import os
import sys

from arbutusstall import _core
from arbutusstall import _effects
from arbutusstall._cli import node as program
from arbutusstall._log import releases
from arbutusstall._shell import http
from arbutusstall._shell import inbound
from arbutusstall._shell import node
from arbutusstall._shell import outbound
from arbutusstall._systems import comparison
from arbutusstall._systems import deltas
from arbutusstall._systems import distribution
from arbutusstall._systems import keys
from arbutusstall._systems import membership
from arbutusstall._wire import messages


def _never_older() -> None:
    """Adopt any version, and send an old one after each update."""
    adopt = distribution.adopt
    propagate = distribution._propagate

    def adopt_any(tables, snapshot, now, digest=""):
        if tables.snapshot.version >= snapshot.version > 0:
            tables.snapshot = dataclasses.replace(tables.snapshot, version=0)
        return adopt(tables, snapshot, now, digest)

    def propagate_old(tables):
        effects = propagate(tables)
        old_snapshots = [
            old for old in tables.snapshots_by_version.values() if old.version
        ]
        if not old_snapshots:
            return effects
        update = messages.SnapshotUpdate(
            digest=deltas.digest(old_snapshots[-1]), snapshot=old_snapshots[-1]
        )
        return effects + [
            dataclasses.replace(effect, message=update) for effect in effects
        ]

    distribution.adopt = adopt_any
    distribution._propagate = propagate_old


def _no_dangling_route() -> None:
    """Accept and adopt routes whose service does not exist."""
    releases._reference_problems = lambda *_: ""
    distribution.has_dangling_references = lambda *_: False


def _never_in_part() -> None:
    """Apply each delta without its last route, and check no digest."""

    def apply_part(base, delta):
        routes = dict(base.routes_by_prefix)
        routes.update(list(delta.changed.routes_by_prefix.items())[:-1])
        version = delta.changed.version
        return dataclasses.replace(
            base, version=version, routes_by_prefix=routes
        )

    deltas.apply = apply_part


def _bad_version_contained() -> None:
    """Judge no version as bad or suspect."""
    comparison.is_bad = lambda *_: False
    comparison.is_suspect = lambda *_: False


def _own_whole_answer() -> None:
    """Return an incomplete answer as if it were complete."""
    send = http.Connection.send

    def send_any(self, request):
        try:
            return send(self, request)
        except http.errors.OutcomeUnknown:
            return http.Response(status=200, headers=(), body=b"part")

    http.Connection.send = send_any


def _not_run_is_true() -> None:
    """Report "not-run" where the outcome is unknown."""
    failed = outbound.Outbound._failed

    def report_not_run(self, request_id, reason, status, outcome, call=None):
        return failed(self, request_id, reason, status, "not-run", call)

    outbound.Outbound._failed = report_not_run


def _at_most_once() -> None:
    """Grant each key to every call that claims it."""
    granted = messages.KeyClaimed(state=messages.KeyState.GRANTED)
    for name, kind in vars(keys).items():
        if isinstance(kind, type) and "claim" in vars(kind):
            getattr(keys, name).claim = lambda *_: granted


def _leaving_gets_nothing() -> None:
    """Neither refuse calls for a leaving target nor announce that."""
    inbound.Inbound.drain = lambda self: None
    _core._EVENT_HANDLERS[_effects.Left] = lambda *_: []
    membership.on_left = lambda *_: []


def _planned_stop_cuts_nothing() -> None:
    """Exit at once on a stop signal."""

    def stop(self):
        self._log.emit("node-stopping")
        os._exit(0)

    node.Node._stop = stop


def _in_force_everywhere() -> None:
    """Keep a parent whose link is lost instead of looking for another."""
    _core._EVENT_HANDLERS[_effects.LinkLost] = lambda *_: []
    _core.tree._drop_silent_links = lambda *_: []


MUTANTS = {
    "never-older": _never_older,
    "no-dangling-route": _no_dangling_route,
    "never-in-part": _never_in_part,
    "bad-version-contained": _bad_version_contained,
    "own-whole-answer": _own_whole_answer,
    "not-run-is-true": _not_run_is_true,
    "at-most-once": _at_most_once,
    "leaving-gets-nothing": _leaving_gets_nothing,
    "planned-stop-cuts-nothing": _planned_stop_cuts_nothing,
    "in-force-everywhere": _in_force_everywhere,
}


if __name__ == "__main__":
    MUTANTS[sys.argv.pop(1)]()
    program.main()
