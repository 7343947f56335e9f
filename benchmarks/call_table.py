"""Memory and CPU time per call id in the inbound proxy's call table.

Usage: python benchmarks/call_table.py [--short].
"""

import time
import tracemalloc

import report as reports

from arbutusstall._systems import revocation
from arbutusstall._wire import messages

_SIZES = (5_000, 20_000)


def report(short: bool) -> reports.Report:
    """Measure tables of finished calls whose answers have no body."""
    rows = []
    for size in _SIZES[: 1 if short else None]:
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        table = _fill(size)
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started_s = time.process_time()
        _fill(size)
        spent_s = time.process_time() - started_s
        rows.append(
            (
                str(len(table)),
                f"{(after - before) / size:.0f}",
                f"{spent_s / size * 1e6:.1f}",
            )
        )
    return reports.Report(
        title="Remembered calls",
        command="python benchmarks/call_table.py",
        header=("ids", "bytes for each", "CPU for each, us"),
        rows=tuple(rows),
    )


def _fill(size: int) -> revocation.CallTable:
    limits = revocation.Limits(
        horizon_ms=60_000, max_entries=size, max_answer_bytes=1_000_000
    )
    table = revocation.CallTable(1, limits)
    for number in range(size):
        call_id = f"kvoty-0-19aa0f0e7b1-{number:x}"
        attempt_id = revocation.AttemptId(
            call_id=call_id, incarnation=1, sent_ms=number
        )
        table.admit(attempt_id, number)
        table.start(call_id, number)
        answer = messages.CallAnswer(call_id=call_id, status=200)
        table.finish(call_id, answer, number)
    return table


if __name__ == "__main__":
    raise SystemExit(reports.run_main(report))
