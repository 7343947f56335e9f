"""Decides at the inbound proxy which requests may start."""

import dataclasses
import threading


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """Whether a request may start; ``refusal`` is empty if so."""

    refusal: str = ""
    retry_after_ms: int = 0


class Admission:
    """Admits each request id once, while a slot is free."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._lock = threading.Lock()
        self._running: set[str] = set()
        self._draining = False

    @property
    def in_flight(self) -> int:
        """Number of requests that run now."""
        return len(self._running)

    def drain(self) -> None:
        """Admit nothing from now on."""
        self._draining = True

    def begin(self, request_id: str) -> Decision:
        """Ask for a slot."""
        with self._lock:
            if self._draining:
                return Decision(refusal="draining")
            if request_id in self._running:
                return Decision(refusal="duplicate")
            if len(self._running) >= self.slots:
                return Decision(refusal="overload", retry_after_ms=50)
            self._running.add(request_id)
            return Decision()

    def end(self, request_id: str) -> None:
        """Give the slot back."""
        with self._lock:
            self._running.discard(request_id)
