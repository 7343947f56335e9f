"""Which level of the tree suits a node, from the hash of its name.

The levels depend on the size of the data centre only by its power of
two, so that members coming and going do not move the others.
"""

from collections import abc

from arbutusstall._systems import rendezvous

# Rendezvous hashing fills parents unevenly; at this mean few are full.
_FILL = 0.625
_MAX_TIER = 6


def tier(name: str, size: int, roots: int, fan_out: int) -> int:
    """Return the level of a node; 1 is directly below the roots."""
    rounded = 1 << (max(size, 1) - 1).bit_length()
    draw = rendezvous.unit_weight("tier", name)
    width = roots * max(1.0, fan_out * _FILL)
    share = 0.0
    for level in range(1, _MAX_TIER):
        share += width / rounded
        if draw <= share:
            return level
        width *= max(1.0, fan_out * _FILL)
    return _MAX_TIER


def parents(
    name: str,
    names: abc.Iterable[str],
    size: int,
    roots: int,
    fan_out: int,
) -> list[str]:
    """Return the members one level above ``name``, the best first."""
    above = tier(name, size, roots, fan_out) - 1
    if above < 1:
        return []
    return rendezvous.order(
        name,
        (
            other
            for other in names
            if other != name and tier(other, size, roots, fan_out) == above
        ),
    )
