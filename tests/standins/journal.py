"""Event lines of test processes, in the format of the nodes' lines."""

import itertools
import json
import re
import threading
import time
from typing import TextIO

_UNQUOTED = re.compile(r"[^\s\"=\\]*")


class Journal:
    """Writes key=value lines with the name of one process."""

    def __init__(self, name: str, output: TextIO) -> None:
        self._name = name
        self._output = output
        self._sequence = itertools.count(1)
        self._lock = threading.Lock()

    def emit(self, event: str, **fields: object) -> None:
        """Write one line for ``event``."""
        pairs = "".join(
            f" {name}={_quote(str(value))}" for name, value in fields.items()
        )
        with self._lock:
            self._output.write(
                f"at=INFO ts={time.time():.6f} event={event}"
                f" node={self._name} seq={next(self._sequence)}{pairs}\n"
            )
            self._output.flush()


def _quote(text: str) -> str:
    if _UNQUOTED.fullmatch(text):
        return text
    return json.dumps(text)
