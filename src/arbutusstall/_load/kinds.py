"""Kinds of request, read from a JSON file."""

import dataclasses
import math
import pathlib

from arbutusstall import _files

_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
_MAX_DEADLINE_MS = 600_000
_MAX_RESENDS = 10


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """One kind of request.

    Attributes:
        name: Class under which its outcomes are counted.
        path: Path and query; ``{n}`` stands for the call's number.
        body: Body; ``{n}`` as in ``path``.
        weight: Share among the kinds, relative to the others.
        deadline_ms: Time the caller gives the mesh.
        key: Send an Idempotency-Key.
        resend: How often a call without a known outcome is sent again,
            with the same key and through the next node.
        echo: The answer's body must hold the request id.
    """

    name: str
    path: str
    method: str = "GET"
    body: str = ""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    weight: float = 1.0
    deadline_ms: int = 5_000
    key: bool = False
    resend: int = 0
    echo: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """The file's content."""

    kinds: tuple[Kind, ...]


def load(path: pathlib.Path) -> Plan:
    """Read and check the file at ``path``.

    Raises:
        InvalidFile: The file is missing, malformed or fails a check.
    """
    plan = _files.load(path, Plan)
    name = str(path)
    if not plan.kinds:
        raise _files.invalid(name, "$.kinds", "no kind is given")
    seen: set[str] = set()
    for index, kind in enumerate(plan.kinds):
        where = f"$.kinds[{index}]"
        for field, reason in _faults(kind, seen):
            raise _files.invalid(name, f"{where}.{field}", reason)
        seen.add(kind.name)
    return plan


def _faults(kind: Kind, seen: set[str]) -> list[tuple[str, str]]:
    rules = (
        ("name", bool(kind.name), "the name is empty"),
        ("name", kind.name not in seen, "the name is used twice"),
        ("path", kind.path.startswith("/"), "does not start with /"),
        ("method", kind.method in _METHODS, f"{kind.method!r} is not known"),
        (
            "weight",
            math.isfinite(kind.weight) and kind.weight > 0,
            f"{kind.weight} is not above 0",
        ),
        (
            "deadline_ms",
            0 < kind.deadline_ms <= _MAX_DEADLINE_MS,
            f"{kind.deadline_ms} is not in 1..{_MAX_DEADLINE_MS}",
        ),
        (
            "resend",
            0 <= kind.resend <= _MAX_RESENDS,
            f"{kind.resend} is not in 0..{_MAX_RESENDS}",
        ),
        ("resend", kind.key or not kind.resend, "needs key to be true"),
    )
    return [(field, reason) for field, holds, reason in rules if not holds]
