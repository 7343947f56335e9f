"""Parses durations of the platform: a number followed by ms or s."""

import re

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)", re.ASCII)
_MAX_S = 1e9
_UNITS_S = {"ms": 0.001, "s": 1.0}


def seconds(text: str) -> float:
    """Parse a duration such as ``"500ms"`` or ``"1.5s"``, in seconds.

    Raises:
        ValueError: The text is not a duration, or one of more than 1e9
            seconds.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(
            f"{text!r} is not a duration: expected a number and ms or s"
        )
    value_s = float(match.group(1)) * _UNITS_S[match.group(2)]
    if value_s > _MAX_S:
        raise ValueError(f"a duration of more than {_MAX_S:g} s")
    return value_s


def milliseconds(text: str) -> int:
    """Parse a duration and round it to whole milliseconds.

    Raises:
        ValueError: As for `seconds`.
    """
    return round(seconds(text) * 1000)
