"""Behaviours of new versions in the model, by name.

A version without a flaw answers like the old one: one call in a thousand
fails, and durations are log-normal with a median of 4 ms.
"""

from collections import abc
import random

import rollout_model

from arbutusstall import settings as node_settings

_MEDIAN_DURATION_S = 0.004
_DURATION_SIGMA = 0.5
_BASE_FAILURE_SHARE = 0.001
_LAKE_ROUTE = "/kvoty/lake"

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
"""The co-op's settings: fast rollouts that tolerate small flaws."""

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
"""The association's settings: a bad version gets as few calls as possible."""


def _behave(
    failure_share_of: abc.Callable[[Situation], float] = lambda now: (
        _BASE_FAILURE_SHARE
    ),
    slowdown_of: abc.Callable[[Situation], float] = lambda now: 1.0,
) -> rollout_model.Behaviour:
    def answer(now: Situation, rng: random.Random) -> rollout_model.Answer:
        slowdown_factor = slowdown_of(now)
        failure_share = failure_share_of(now)
        failed = rng.random() < failure_share
        return rollout_model.Answer(
            failed=failed,
            duration_s=_MEDIAN_DURATION_S
            * slowdown_factor
            * rng.lognormvariate(0, _DURATION_SIGMA),
            bad=slowdown_factor > 1.0
            or (failed and failure_share > _BASE_FAILURE_SHARE),
        )

    return answer


def _is_new(now: Situation) -> bool:
    return now.version == "v2"


BAD = {
    "fails at once": _behave(
        lambda now: 0.5 if _is_new(now) else _BASE_FAILURE_SHARE
    ),
    "fails a little": _behave(
        lambda now: 0.1 if _is_new(now) else _BASE_FAILURE_SHARE
    ),
    "fails later": _behave(
        lambda now: (
            0.3 if _is_new(now) and now.elapsed_s > 12 else _BASE_FAILURE_SHARE
        )
    ),
    "fails at the goal": _behave(
        lambda now: (
            0.3
            if _is_new(now) and now.progress >= 1.0
            else _BASE_FAILURE_SHARE
        )
    ),
    "fails under load": _behave(
        lambda now: (
            0.5 if _is_new(now) and now.load > 100 else _BASE_FAILURE_SHARE
        )
    ),
    "fails on one route": _behave(
        lambda now: (
            0.5
            if _is_new(now) and now.route == _LAKE_ROUTE
            else _BASE_FAILURE_SHARE
        )
    ),
    "slow at once": _behave(
        slowdown_of=lambda now: 4.0 if _is_new(now) else 1.0
    ),
    "slow later": _behave(
        slowdown_of=lambda now: (
            4.0 if _is_new(now) and now.elapsed_s > 12 else 1.0
        )
    ),
    "slow under load": _behave(
        slowdown_of=lambda now: 6.0 if _is_new(now) and now.load > 100 else 1.0
    ),
    "slow on one route": _behave(
        slowdown_of=lambda now: (
            4.0 if _is_new(now) and now.route == _LAKE_ROUTE else 1.0
        )
    ),
}

GOOD = {
    "good": _behave(),
    "cold starts": _behave(
        slowdown_of=lambda now: (
            10.0 if _is_new(now) and now.serving_s < 1.0 else 1.0
        )
    ),
    "back end fails": _behave(
        lambda now: 0.4 if 10 < now.elapsed_s < 16 else _BASE_FAILURE_SHARE
    ),
    "back end fails at the goal": _behave(
        lambda now: 0.5 if 24 < now.elapsed_s < 28 else _BASE_FAILURE_SHARE
    ),
    "back end slow": _behave(
        slowdown_of=lambda now: 6.0 if 10 < now.elapsed_s < 16 else 1.0
    ),
    "always flaky": _behave(lambda now: 0.05),
    "fast on a busy machine": _behave(
        slowdown_of=lambda now: 0.9 if _is_new(now) else 0.3
    ),
}
