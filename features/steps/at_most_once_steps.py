"""Steps that run random interleavings of one request."""

import behave
import call_model
import hypothesis
from hypothesis import strategies

from arbutusstall._systems import attempts
from arbutusstall._systems import revocation

# One byte for each action: the upper four bits select the kind, the lower
# four the object that it applies to.
_SCHEDULES = strategies.binary(min_size=24, max_size=48)
_KINDS = (
    *(call_model.Action.DELIVER,) * 6,
    *(call_model.Action.GIVE_UP,) * 2,
    *(call_model.Action.REACH_TARGET,) * 3,
    *(call_model.Action.FINISH,) * 2,
    call_model.Action.PASS_TIME,
    call_model.Action.OTHER_CALL,
    call_model.Action.CRASH,
)


class _NoTombstones(revocation.CallTable):
    def _add_tombstone(self, call_id, sent_ms, now_ms):
        return revocation.messages.RevokeState.REVOKED


class _NoHorizon(revocation.CallTable):
    def _refusal(self, attempt_id, now_ms):
        refusal = super()._refusal(attempt_id, now_ms)
        too_old = refusal == revocation.TOO_OLD
        above = attempt_id.sent_ms > self.floor_ms
        return "" if too_old and above else refusal


class _NoFloor(revocation.CallTable):
    floor_ms = property(lambda self: -1, lambda self, value: None)


class _NoIncarnation(revocation.CallTable):
    incarnation = property(
        lambda self: _EqualToAll(), lambda self, value: None
    )


class _EqualToAll:
    def __eq__(self, other):
        return True

    def __ne__(self, other):
        return False

    __hash__ = None


_TABLES_BY_MECHANISM = {
    "tombstones": _NoTombstones,
    "horizon": _NoHorizon,
    "floor": _NoFloor,
    "incarnation": _NoIncarnation,
}


def _run(context, count, idempotent, table_type=revocation.CallTable):
    context.repeats, context.false_refusals, context.reports = [], [], set()

    @hypothesis.settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(_SCHEDULES)
    def interleaving(schedule):
        model = call_model.Model(idempotent, table_type)
        for byte in schedule:
            model.step(_KINDS[byte >> 4], byte & 15)
        own_executions = [
            name for name in model.executions if "other" not in name
        ]
        context.reports.add(model.reported)
        if len(own_executions) > 1:
            context.repeats.append(schedule)
        if own_executions and model.reported is attempts.Step.REPORT_NOT_RUN:
            context.false_refusals.append(schedule)

    interleaving()


@behave.when("{count:d} interleavings of a non-idempotent request are run")
def run_non_idempotent(context, count):
    """Run them and check that every final step occurred."""
    _run(context, count, False)
    missing = set(attempts.Step) - {attempts.Step.RETRY} - context.reports
    assert not missing, missing


@behave.when("{count:d} interleavings of an idempotent request are run")
def run_idempotent(context, count):
    """Run them with the production call table."""
    _run(context, count, True)


@behave.when(
    "{count:d} interleavings are run with a table that has no {mechanism}"
)
def run_without(context, count, mechanism):
    """Run them with a call table that lacks one mechanism."""
    _run(context, count, False, _TABLES_BY_MECHANISM[mechanism])


@behave.then("no request ran twice")
def not_twice(context):
    """Fail with the shortest interleaving that ran twice."""
    assert not context.repeats, min(context.repeats, key=len)


@behave.then("no request that was reported as not run has run")
def not_run_is_true(context):
    """Fail with the shortest interleaving with a false "not run"."""
    assert not context.false_refusals, min(context.false_refusals, key=len)


@behave.then("a violation is found")
def violation_found(context):
    """Fail if no interleaving shows the missing mechanism."""
    assert context.repeats or context.false_refusals
