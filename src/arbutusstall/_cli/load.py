"""The program arbutusstall-load."""

from concurrent import futures
import sys
import time
import uuid

from cleo import helpers
from cleo.commands import command
from hdrh import histogram
import msgspec

from arbutusstall import errors
from arbutusstall._cli import program
from arbutusstall._shell import http
from arbutusstall._shell import outbound

_MAX_US = 60_000_000


class RunCommand(command.Command):  # type: ignore[misc]
    """Sends requests at a fixed rate."""

    name = "run"
    description = "Send requests at a fixed rate and report."
    arguments = [helpers.argument("urls", "URLs.", multiple=True)]
    options = [
        helpers.option("rate", "", "Calls a second.", False, default="50"),
        helpers.option("seconds", "", "Length.", False, default="5"),
        helpers.option("method", "", "Method.", False, default="GET"),
    ]

    def handle(self) -> int:
        """Return the exit code."""
        rate = float(self.option("rate"))
        total = int(rate * float(self.option("seconds")))
        urls = self.argument("urls")
        started_s = time.monotonic()
        with futures.ThreadPoolExecutor(max_workers=64) as pool:
            jobs = []
            for index in range(total):
                due_s = started_s + index / rate
                time.sleep(max(0.0, due_s - time.monotonic()))
                url = urls[index % len(urls)]
                jobs.append(pool.submit(self._send, url, due_s))
        self._report([job.result() for job in jobs])
        return program.EXIT_OK

    def _send(self, url: str, due_s: float) -> tuple[str, float]:
        request = http.Request(
            method=self.option("method"),
            url=url,
            headers=((outbound.REQUEST_ID, uuid.uuid4().hex),),
        )
        try:
            response = http.send(request)
        except errors.ArbutusstallError as exc:
            return type(exc).__name__, time.monotonic() - due_s
        headers = {name.lower(): value for name, value in response.headers}
        outcome = headers.get(outbound.OUTCOME.lower())
        return outcome or str(response.status), time.monotonic() - due_s

    def _report(self, results: list[tuple[str, float]]) -> None:
        latency = histogram.HdrHistogram(1, _MAX_US, 3)
        counts: dict[str, int] = {}
        for outcome, seconds in results:
            counts[outcome] = counts.get(outcome, 0) + 1
            latency.record_value(int(seconds * 1e6))
        report = {
            "counts": counts,
            "p50_ms": latency.get_value_at_percentile(50) / 1000,
            "p99_ms": latency.get_value_at_percentile(99) / 1000,
        }
        sys.stdout.write(msgspec.json.encode(report).decode() + "\n")


def main() -> None:
    """Entry point."""
    program.run("arbutusstall-load", RunCommand())


if __name__ == "__main__":
    main()
