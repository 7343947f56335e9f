"""Times as the platform writes them: a number and ``ms`` or ``s``."""

import re

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_UNITS_S = {"ms": 0.001, "s": 1.0}


def seconds(text: str) -> float:
    """Return the seconds that ``text`` stands for.

    Raises:
        ValueError: The text is no duration.
    """
    found = _DURATION.fullmatch(text)
    if found is None:
        raise ValueError(f"{text!r} is no duration")
    return float(found.group(1)) * _UNITS_S[found.group(2)]


def milliseconds(text: str) -> int:
    """Return the whole milliseconds that ``text`` stands for.

    Raises:
        ValueError: The text is no duration.
    """
    return round(seconds(text) * 1000)
