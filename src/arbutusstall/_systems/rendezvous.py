"""Rendezvous hashing (highest random weight)."""

from collections import abc

import xxhash

_SPAN = float(1 << 64)


def weight(owner: str, candidate: str) -> int:
    """Return the 64-bit weight of ``candidate`` for ``owner``."""
    return xxhash.xxh3_64_intdigest(f"{owner}\0{candidate}".encode())


def unit_weight(owner: str, candidate: str) -> float:
    """Return the weight as a number above 0 and at most 1."""
    return (weight(owner, candidate) + 1) / _SPAN


def order(owner: str, candidates: abc.Iterable[str]) -> list[str]:
    """Return the candidates, the highest weight first."""
    return sorted(
        candidates,
        key=lambda candidate: (weight(owner, candidate), candidate),
        reverse=True,
    )
