"""Plans the time and the kind of each call."""

from collections import abc
import dataclasses
import random

from arbutusstall import errors
from arbutusstall._load import kinds

_MAX_RATE = 50_000.0
_MAX_SECONDS = 86_400.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """A part of a run with a constant rate in calls per second."""

    rate: float
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ScheduledCall:
    """One call to send ``due_s`` seconds after the start of the run."""

    number: int
    due_s: float
    kind: kinds.Kind


def parse_steps(text: str) -> tuple[Step, ...]:
    """Return the steps in ``text``, such as ``"50x5,100x2.5"``.

    Raises:
        InvalidFile: The text is malformed or a value is out of bounds.
    """
    return tuple(_parse_step(part) for part in text.split(","))


def plan_calls(
    plan: kinds.Plan, steps: abc.Iterable[Step], rng: random.Random
) -> abc.Iterator[ScheduledCall]:
    """Yield all calls in the order of their scheduled times."""
    weights = [kind.weight for kind in plan.kinds]
    number = 0
    begin_s = 0.0
    for step in steps:
        for index in range(int(step.rate * step.seconds)):
            number += 1
            yield ScheduledCall(
                number=number,
                due_s=begin_s + index / step.rate,
                kind=rng.choices(plan.kinds, weights)[0],
            )
        begin_s += step.seconds


def _parse_step(text: str) -> Step:
    rate_text, _, seconds_text = text.partition("x")
    try:
        step = Step(rate=float(rate_text), seconds=float(seconds_text))
    except ValueError as exc:
        raise _invalid(text, "must have the form RATExSECONDS") from exc
    if not 0 < step.rate <= _MAX_RATE:
        raise _invalid(
            text, f"the rate must be above 0 and at most {_MAX_RATE:g}/s"
        )
    if not 0 < step.seconds <= _MAX_SECONDS:
        raise _invalid(
            text, f"the time must be above 0 and at most {_MAX_SECONDS:g} s"
        )
    return step


def _invalid(text: str, reason: str) -> errors.InvalidFile:
    return errors.InvalidFile(
        step="load.options", peer="--steps", reason=f"{text!r}: {reason}"
    )
