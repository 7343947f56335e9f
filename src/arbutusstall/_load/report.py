"""Builds the report of a run and renders it as text or JSON."""

from collections import abc
import dataclasses

import msgspec

from arbutusstall._load import runner
from arbutusstall._load import schedule
from arbutusstall._load import tally


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunReport:
    """Settings and results of a run.

    Attributes:
        seed: Seed of the choice of kinds.
        entries: Number of nodes that calls entered through.
        steps: Rates in their order.
        kinds: Results by name of the kind.
    """

    seed: int
    entries: int
    steps: tuple[schedule.Step, ...]
    kinds: abc.Mapping[str, tally.KindReport]

    @property
    def wrong(self) -> int:
        """Number of calls that got an answer to another request."""
        name = tally.Outcome.WRONG.value
        return sum(kind.counts[name] for kind in self.kinds.values())


def build(
    settings: runner.RunSettings,
    reports_by_kind: abc.Mapping[str, tally.KindReport],
) -> RunReport:
    """Return the report of a run."""
    return RunReport(
        seed=settings.seed,
        entries=len(settings.entries),
        steps=settings.steps,
        kinds=reports_by_kind,
    )


def render_json(report: RunReport) -> str:
    """Return the report as one JSON object."""
    return msgspec.json.encode(report).decode()


def render_text(report: RunReport) -> str:
    """Return the report as lines of text."""
    steps = ", ".join(
        f"{step.rate:g}/s for {step.seconds:g} s" for step in report.steps
    )
    rows = [f"{steps} through {report.entries} nodes, seed {report.seed}"]
    for name, kind in report.kinds.items():
        rows += _render_kind(name, kind)
    return "\n".join(rows)


def _render_kind(name: str, kind: tally.KindReport) -> list[str]:
    counts = ", ".join(
        f"{outcome} {count}" for outcome, count in kind.counts.items()
    )
    latency = ", ".join(
        f"{quantile} {value:.3f}"
        for quantile, value in kind.latency_ms.items()
    )
    rows = [f"{name}: {counts}"]
    if kind.failed_answers:
        rows.append(f"  answers with an error status: {kind.failed_answers}")
    for reason, count in sorted(kind.not_run.items()):
        rows.append(f"  not run, {reason}: {count}")
    rows.append(f"  latency from the scheduled time in ms: {latency}")
    return rows
