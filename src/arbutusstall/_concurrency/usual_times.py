"""Usual run time of each route while few requests run."""

# Relative change of a median by one sample.
_STEP = 0.03
# The first samples change it by this much, divided by their number.
_FIRST_STEP = 0.5
# With fewer samples a route counts as unknown.
_MIN_SAMPLES = 8
_MAX_ROUTES = 1_000


class _Route:
    __slots__ = ("samples", "usual_ms")

    def __init__(self, usual_ms: float) -> None:
        self.usual_ms = usual_ms
        self.samples = 0


class UsualTimes:
    """Running medians of run times by route. Not thread-safe."""

    def __init__(self) -> None:
        self._routes: dict[str, _Route] = {}

    def record(self, route: str, run_ms: float) -> None:
        """Record a run that was observed at a low concurrency."""
        known = self._get(route, run_ms)
        if not known.samples:
            known.usual_ms = max(1.0, run_ms)
        known.samples += 1
        step = 1.0 + max(_STEP, _FIRST_STEP / known.samples)
        if run_ms > known.usual_ms:
            known.usual_ms *= step
        elif run_ms < known.usual_ms:
            known.usual_ms = max(1.0, known.usual_ms / step)

    def ratio(self, route: str, run_ms: float) -> float:
        """Return a run time as a multiple of the usual one of its route.

        Before the first run at a low concurrency, the first run time that
        was asked for serves as the usual one. Such ratios can be compared
        with each other only.
        """
        return run_ms / self._get(route, run_ms).usual_ms

    def is_known(self, route: str) -> bool:
        """Return whether enough runs at a low concurrency were recorded."""
        known = self._routes.get(route)
        return known is not None and known.samples >= _MIN_SAMPLES

    def _get(self, route: str, run_ms: float) -> _Route:
        known = self._routes.get(route)
        if known is None:
            if len(self._routes) >= _MAX_ROUTES:
                self._routes.clear()
            known = self._routes[route] = _Route(max(1.0, run_ms))
        return known
