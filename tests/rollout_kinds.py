"""Ways in which a new version behaves in the model, by name.

A version with no badness answers like the old one: one call in a
thousand fails, and durations are spread around 4 ms.
"""

from collections import abc
import random

import rollout_model

from arbutusstall import settings as node_settings

_MEDIAN_S = 0.004
_SPREAD = 0.5
_FAILS = 0.001
_LAKE = "/kvoty/lake"

Situation = rollout_model.Situation

SPEED = node_settings.RolloutSettings(
    first_percent=10.0,
    growth=2.0,
    watch_s=5.0,
    warm_up_s=1.5,
    min_calls=20,
    few_calls=4,
    error_floor=0.02,
    false_rollbacks=0.01,
)
"""The co-op's settings: moves are quick, small flaws are tolerated."""

SAFETY = node_settings.RolloutSettings(
    first_percent=2.0,
    growth=1.5,
    growth_max=2.5,
    watch_s=12.0,
    min_calls=40,
    few_calls=8,
    patience_s=2.0,
    error_ratio=1.25,
    error_floor=0.005,
    slow_ratio=1.5,
    slow_floor=0.08,
    false_rollbacks=0.02,
    probe_percent=10.0,
)
"""The association's settings: a bad version gets as little as can be."""


def _behave(
    fails: abc.Callable[[Situation], float] = lambda now: _FAILS,
    slower: abc.Callable[[Situation], float] = lambda now: 1.0,
) -> rollout_model.Behaviour:
    def answer(now: Situation, rng: random.Random) -> rollout_model.Answer:
        slower_by = slower(now)
        fails_by = fails(now)
        failed = rng.random() < fails_by
        return rollout_model.Answer(
            failed=failed,
            duration_s=_MEDIAN_S * slower_by * rng.lognormvariate(0, _SPREAD),
            bad=slower_by > 1.0 or (failed and fails_by > _FAILS),
        )

    return answer


def _new(now: Situation) -> bool:
    return now.version == "v2"


BAD = {
    "fails at once": _behave(lambda now: 0.5 if _new(now) else _FAILS),
    "fails a little": _behave(lambda now: 0.1 if _new(now) else _FAILS),
    "fails later": _behave(
        lambda now: 0.3 if _new(now) and now.elapsed_s > 12 else _FAILS
    ),
    "fails at the goal": _behave(
        lambda now: 0.3 if _new(now) and now.progress >= 1.0 else _FAILS
    ),
    "fails under load": _behave(
        lambda now: 0.5 if _new(now) and now.load > 100 else _FAILS
    ),
    "fails on one route": _behave(
        lambda now: 0.5 if _new(now) and now.route == _LAKE else _FAILS
    ),
    "slow at once": _behave(slower=lambda now: 4.0 if _new(now) else 1.0),
    "slow later": _behave(
        slower=lambda now: 4.0 if _new(now) and now.elapsed_s > 12 else 1.0
    ),
    "slow under load": _behave(
        slower=lambda now: 6.0 if _new(now) and now.load > 100 else 1.0
    ),
    "slow on one route": _behave(
        slower=lambda now: 4.0 if _new(now) and now.route == _LAKE else 1.0
    ),
}

GOOD = {
    "good": _behave(),
    "cold starts": _behave(
        slower=lambda now: 10.0 if _new(now) and now.serving_s < 1.0 else 1.0
    ),
    "back end fails": _behave(
        lambda now: 0.4 if 10 < now.elapsed_s < 16 else _FAILS
    ),
    "back end fails at the goal": _behave(
        lambda now: 0.5 if 24 < now.elapsed_s < 28 else _FAILS
    ),
    "back end slow": _behave(
        slower=lambda now: 6.0 if 10 < now.elapsed_s < 16 else 1.0
    ),
    "always flaky": _behave(lambda now: 0.05),
    "fast on a busy machine": _behave(
        slower=lambda now: 0.9 if _new(now) else 0.3
    ),
}
