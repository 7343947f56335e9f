"""Estimates how long a target takes for a request."""

_SMOOTHING = 0.1
_INITIAL_MS = 10.0
_MAX_ROUTES = 1_000


class RunTimes:
    """Smoothed run times by route, in milliseconds. Not thread-safe."""

    def __init__(self) -> None:
        self._mean_ms = _INITIAL_MS
        self._mean_ms_by_route: dict[str, float] = {}

    def record(self, route: str, run_ms: int) -> None:
        """Record the run time of a request on ``route``."""
        self._mean_ms += _SMOOTHING * (run_ms - self._mean_ms)
        mean_ms = self._mean_ms_by_route.get(route, float(run_ms))
        mean_ms += _SMOOTHING * (run_ms - mean_ms)
        if len(self._mean_ms_by_route) >= _MAX_ROUTES:
            self._mean_ms_by_route.clear()
        self._mean_ms_by_route[route] = mean_ms

    def expected_ms(self, route: str) -> int:
        """Return the expected run time on ``route``.

        It is the mean over all routes if nothing ran on this one.
        """
        return int(self._mean_ms_by_route.get(route, self._mean_ms))
