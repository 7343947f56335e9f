"""Parses durations of the platform: a number followed by ms or s."""

import re

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_UNITS_S = {"ms": 0.001, "s": 1.0}


def seconds(text: str) -> float:
    """Parse a duration such as ``"500ms"`` or ``"1.5s"``, in seconds.

    Raises:
        ValueError: The text is not a duration.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(
            f"{text!r} is not a duration: expected a number and ms or s"
        )
    return float(match.group(1)) * _UNITS_S[match.group(2)]


def milliseconds(text: str) -> int:
    """Parse a duration and round it to whole milliseconds.

    Raises:
        ValueError: The text is not a duration.
    """
    return round(seconds(text) * 1000)
