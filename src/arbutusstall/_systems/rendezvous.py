"""Rendezvous hashing (highest random weight)."""

from collections import abc

import xxhash

_WEIGHT_RANGE = float(1 << 64)


def weight(owner: str, candidate: str) -> int:
    """Return the 64-bit weight of ``candidate`` for ``owner``."""
    return xxhash.xxh3_64_intdigest(f"{owner}\0{candidate}".encode())


def unit_weight(owner: str, candidate: str) -> float:
    """Return the weight scaled to the interval (0, 1]."""
    return (weight(owner, candidate) + 1) / _WEIGHT_RANGE


def order(owner: str, candidates: abc.Iterable[str]) -> list[str]:
    """Return the candidates by descending weight for ``owner``.

    Equal weights are ordered by the candidates themselves, so that all
    nodes agree on the order.
    """
    return sorted(
        candidates,
        key=lambda candidate: (weight(owner, candidate), candidate),
        reverse=True,
    )
