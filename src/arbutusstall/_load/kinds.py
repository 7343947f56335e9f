"""Kinds of request to send, read from a JSON file."""

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
        name: Name under which the outcomes are reported.
        path: Path and query; ``{n}`` is replaced by the call's number.
        method: HTTP method.
        body: Request body; ``{n}`` is replaced as in ``path``.
        headers: Further headers of the request.
        weight: Relative frequency among the kinds.
        deadline_ms: Deadline that is sent with the call, in milliseconds.
        key: Whether to send an Idempotency-Key.
        resend: Maximum number of times that a call whose outcome is
            unknown is sent again, with the same key and through the next
            node.
        echo: Whether the answer's body must contain the request id.
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
    """Content of the file: the kinds to choose from."""

    kinds: tuple[Kind, ...]


def load(path: pathlib.Path) -> Plan:
    """Read and check the file at ``path``.

    Raises:
        InvalidFile: The file is missing, malformed or fails a check.
    """
    plan = _files.load(path, Plan)
    name = str(path)
    if not plan.kinds:
        raise _files.invalid(name, "$.kinds", "the file has no kinds")
    seen: set[str] = set()
    for index, kind in enumerate(plan.kinds):
        location = f"$.kinds[{index}]"
        for field, reason in _problems(kind, seen):
            raise _files.invalid(name, f"{location}.{field}", reason)
        seen.add(kind.name)
    return plan


def _problems(kind: Kind, seen: set[str]) -> list[tuple[str, str]]:
    rules = (
        ("name", bool(kind.name), "the name is empty"),
        ("name", kind.name not in seen, "two kinds have this name"),
        ("path", kind.path.startswith("/"), "the path does not start with /"),
        (
            "method",
            kind.method in _METHODS,
            f"{kind.method!r} is not a supported method",
        ),
        (
            "weight",
            math.isfinite(kind.weight) and kind.weight > 0,
            f"{kind.weight} is not a finite number above 0",
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
        (
            "resend",
            kind.key or not kind.resend,
            "resending requires key to be true",
        ),
    )
    return [
        (field, reason) for field, is_valid, reason in rules if not is_valid
    ]
