"""Limits of the answers that the threaded call path reads."""

from arbutusstall import _settings
from arbutusstall._bounds import shared_budget
from arbutusstall._shell import http

# Answers of targets and answers of other nodes are read by different pools.
_POOLS = 2


def for_targets(reads: _settings.ReadSettings) -> http.AnswerLimits:
    """Return limits for the answers of the local target."""
    return http.AnswerLimits(
        answer_bytes=reads.answer_bytes,
        budget=shared_budget.SharedBudget(reads.held_bytes // _POOLS),
    )


def for_nodes(reads: _settings.ReadSettings) -> http.AnswerLimits:
    """Return limits for the answers of other nodes."""
    return http.AnswerLimits(
        answer_bytes=reads.frame_bytes,
        budget=shared_budget.SharedBudget(reads.held_bytes // _POOLS),
    )
