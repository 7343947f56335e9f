"""Load loops and the mesh of the call benchmarks."""

import threading
import time

from hdrh import histogram
import mesh

from arbutusstall import errors
from arbutusstall._shell import http

_MAX_LATENCY_US = 60_000_000
_READY_TIMEOUT_S = 30.0
SERVICE = "kvoty"


class LoadResult:
    """Latencies and outcomes of one run.

    Attributes:
        latency: Histogram of the answers with status 200, in microseconds.
        outcomes: Number of calls by status, mesh outcome or error class.
        seconds: Duration of the run.
    """

    def __init__(self) -> None:
        self.latency = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)
        self.outcomes: dict[str, int] = {}
        self.seconds = 0.0
        self._lock = threading.Lock()

    def add(self, samples: list[tuple[float, str]]) -> None:
        """Add the calls of one thread."""
        with self._lock:
            for seconds, outcome in samples:
                self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
                if outcome == "200":
                    self.latency.record_value(int(seconds * 1e6))

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        return self.latency.get_value_at_percentile(percent) / 1000

    @property
    def rate(self) -> float:
        """Answers with status 200 per second."""
        return self.outcomes.get("200", 0) / self.seconds


def closed_loop(
    urls: list[str], callers: int, seconds: float, method: str = "GET"
) -> LoadResult:
    """Send calls from ``callers`` threads, each after the last answer."""
    result = LoadResult()
    end_s = time.monotonic() + seconds

    def loop(url: str) -> None:
        connection = http.Connection()
        samples = []
        while time.monotonic() < end_s:
            started_s = time.perf_counter()
            outcome, connection = call(connection, url, method)
            samples.append((time.perf_counter() - started_s, outcome))
        result.add(samples)

    _run([(loop, urls[n % len(urls)]) for n in range(callers)])
    result.seconds = seconds
    return result


def open_loop(
    urls: list[str], rate: float, seconds: float, threads: int
) -> LoadResult:
    """Call at a fixed rate; latencies count from the scheduled time."""
    result = LoadResult()
    began_s = time.monotonic()

    def loop(number: int) -> None:
        connection = http.Connection()
        samples = []
        for index in range(number, int(rate * seconds), threads):
            due_s = began_s + index / rate
            time.sleep(max(0.0, due_s - time.monotonic()))
            url = urls[index % len(urls)]
            outcome, connection = call(connection, url, "GET")
            samples.append((time.monotonic() - due_s, outcome))
        result.add(samples)

    _run([(loop, number) for number in range(threads)])
    result.seconds = max(seconds, time.monotonic() - began_s)
    return result


def call(
    connection: http.Connection, url: str, method: str
) -> tuple[str, http.Connection]:
    """Make one call; return its outcome and the connection to use next."""
    request = http.Request(method=method, url=url, timeout_s=10.0)
    try:
        response = connection.send(request)
    except errors.ArbutusstallError as exc:
        return type(exc).__name__, http.Connection()
    for name, value in response.headers:
        if name.lower() == "arbutusstall-outcome":
            return value, connection
    return str(response.status), connection


def start_mesh(
    directory, count: int, slots: int, settings: dict[str, object]
) -> mesh.Mesh:
    """Start ``count`` endpoints with a route to them; wait until ready.

    Raises:
        RuntimeError: The release was not accepted.
        TimeoutError: The nodes did not get ready in time.
    """
    running = mesh.Mesh(directory, {"relay": {"roots": 1}, **settings})
    running.start_log()
    for number in range(count):
        running.start_node(
            mesh.NodeSpec(
                name=f"{SERVICE}-{number}",
                data_centre="lipno",
                service=SERVICE,
                version="v1",
                slots=slots,
            )
        )
    running.wait_ready()
    release = {
        "name": "bench",
        "add": {
            "services": [{"name": SERVICE}],
            "routes": [{"prefix": f"/{SERVICE}", "service": SERVICE}],
        },
        "shares": [{"service": SERVICE, "percent_by_version": {"v1": 100}}],
    }
    published = running.publish(release)
    if published.returncode != 0:
        raise RuntimeError(published.stdout + published.stderr)
    ready = running.wait_until(
        lambda: _is_ready(running, count), _READY_TIMEOUT_S
    )
    if not ready:
        raise TimeoutError(
            f"the mesh was not ready within {_READY_TIMEOUT_S:g} s"
        )
    return running


def _is_ready(running: mesh.Mesh, count: int) -> bool:
    return all(
        running.status(name)["serving"] == count
        and int(running.status(name)["version"]) > 0
        for name in running.nodes_by_name
    )


def _run(jobs: list[tuple[object, object]]) -> None:
    threads = [
        threading.Thread(target=job, args=(argument,))
        for job, argument in jobs
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
