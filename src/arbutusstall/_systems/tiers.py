"""Assigns each node a level of the distribution tree by its name's hash.

The size of the data centre is rounded up to a power of two, so that
members that join or leave do not change the levels of the others.
"""

from collections import abc

from arbutusstall._systems import rendezvous

# Planned mean share of ``fan_out`` that a parent uses. Rendezvous hashing
# distributes children unevenly; at this mean few parents are full.
_MEAN_PARENT_LOAD = 0.625
_MAX_TIER = 6


def tier(name: str, size: int, roots: int, fan_out: int) -> int:
    """Return the level of a node; 1 is directly below the roots.

    Args:
        name: The node.
        size: Members of the node's data centre.
        roots: Root positions of a data centre.
        fan_out: Maximum number of children of a node.
    """
    rounded = 1 << (max(size, 1) - 1).bit_length()
    draw = rendezvous.unit_weight("tier", name)
    width = roots * max(1.0, fan_out * _MEAN_PARENT_LOAD)
    share = 0.0
    for level in range(1, _MAX_TIER):
        share += width / rounded
        if draw <= share:
            return level
        width *= max(1.0, fan_out * _MEAN_PARENT_LOAD)
    return _MAX_TIER


def parents(
    name: str,
    names: abc.Iterable[str],
    size: int,
    roots: int,
    fan_out: int,
) -> list[str]:
    """Return the members one level above ``name``, by preference.

    Args:
        name: The node that looks for a parent.
        names: Members of its data centre.
        size: Members of the data centre, as in ``tier``.
        roots: Root positions of a data centre.
        fan_out: Maximum number of children of a node.

    Returns:
        Names in rendezvous order; empty for a node on level 1, whose
        parents are the roots.
    """
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
