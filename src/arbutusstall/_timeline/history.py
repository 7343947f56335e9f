"""Tables of what happened, built from a merged time line."""

from collections import abc
import dataclasses

from arbutusstall._timeline import lines

EVERY_NODE = "*"


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """One request of a caller; ``got`` is None if it never ended."""

    sent: lines.Line
    got: lines.Line | None = None

    @property
    def outcome(self) -> str:
        """``answer``, ``not-run``, ``unknown``, ``none`` or empty."""
        return self.got.get("outcome") if self.got else ""


@dataclasses.dataclass(kw_only=True, slots=True)
class Execution:
    """One start of a request at a target."""

    started: lines.Line
    finished: lines.Line | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class Fault:
    """An injected fault; ``ended_s`` is None while it lasts.

    Attributes:
        kind: Such as ``kill``, ``freeze``, ``log-out`` or
            ``bad-version``.
        nodes: Names of the nodes it touches, or `EVERY_NODE`.
    """

    kind: str
    nodes: frozenset[str]
    began: lines.Line
    ended_s: float | None = None

    def affects(self, node: str) -> bool:
        """Tell whether the fault concerns ``node``."""
        return EVERY_NODE in self.nodes or node in self.nodes


@dataclasses.dataclass(kw_only=True, slots=True)
class NodeRun:
    """One process of a node.

    Attributes:
        ended_s: When it stopped, was told to stop, or was killed.
        stopped_s: When its planned stop was complete.
        in_force: Its ``config-in-force`` lines.
    """

    node: str
    started_s: float
    ended_s: float | None = None
    stopping_s: float | None = None
    stopped_s: float | None = None
    in_force: list[lines.Line] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True, slots=True)
class History:
    """Everything that the checks read, in the order of the time line."""

    end_s: float = 0.0
    calls_by_request: dict[str, Call] = dataclasses.field(default_factory=dict)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    executions_by_request: dict[str, list[Execution]] = dataclasses.field(
        default_factory=dict
    )
    faults: list[Fault] = dataclasses.field(default_factory=list)
    runs_by_id: dict[str, NodeRun] = dataclasses.field(default_factory=dict)
    nodes_by_address: dict[str, str] = dataclasses.field(default_factory=dict)
    lines_by_event: dict[str, list[lines.Line]] = dataclasses.field(
        default_factory=dict
    )

    def lines_of(self, event: str) -> list[lines.Line]:
        """Return the lines of one kind of event."""
        return self.lines_by_event.get(event, [])


def build(merged: abc.Iterable[lines.Line]) -> History:
    """Build the tables from lines in their order."""
    history = History()
    for line in merged:
        history.end_s = max(history.end_s, line.at_s)
        history.lines_by_event.setdefault(line.event, []).append(line)
        handler = _HANDLERS.get(line.event)
        if handler is not None:
            handler(history, line)
    return history


def _caller_sent(history: History, line: lines.Line) -> None:
    history.calls_by_request[line.get("request")] = Call(sent=line)


def _caller_got(history: History, line: lines.Line) -> None:
    call = history.calls_by_request.get(line.get("request"))
    if call is not None:
        call.got = line


def _executed(history: History, line: lines.Line) -> None:
    execution = Execution(started=line)
    history.executions.append(execution)
    found = history.executions_by_request.setdefault(line.get("request"), [])
    found.append(execution)


def _finished(history: History, line: lines.Line) -> None:
    for execution in history.executions_by_request.get(
        line.get("request"), ()
    ):
        if execution.started.run == line.run and execution.finished is None:
            execution.finished = line
            return


def _fault_began(history: History, line: lines.Line) -> None:
    nodes = frozenset(line.get("nodes").split(","))
    fault = Fault(kind=line.get("fault"), nodes=nodes, began=line)
    history.faults.append(fault)
    if fault.kind != "kill":
        return
    fault.ended_s = line.at_s
    for run in history.runs_by_id.values():
        if run.ended_s is None and fault.affects(run.node):
            run.ended_s = line.at_s


def _fault_ended(history: History, line: lines.Line) -> None:
    for fault in history.faults:
        same = fault.began.get("id") == line.get("id")
        if same and fault.ended_s is None:
            fault.ended_s = line.at_s


def _node_address(history: History, line: lines.Line) -> None:
    history.nodes_by_address[line.get("callers")] = line.get("beside")


def _node_started(history: History, line: lines.Line) -> None:
    history.nodes_by_address[line.get("callers")] = line.node
    history.runs_by_id[line.run] = NodeRun(node=line.node, started_s=line.at_s)


def _node_stopping(history: History, line: lines.Line) -> None:
    run = history.runs_by_id.get(line.run)
    if run is not None:
        run.stopping_s = run.ended_s = line.at_s


def _node_stopped(history: History, line: lines.Line) -> None:
    run = history.runs_by_id.get(line.run)
    if run is not None:
        run.stopped_s = line.at_s


def _in_force(history: History, line: lines.Line) -> None:
    run = history.runs_by_id.get(line.run)
    if run is not None:
        run.in_force.append(line)


_HANDLERS: dict[str, abc.Callable[[History, lines.Line], None]] = {
    "caller-sent": _caller_sent,
    "caller-got": _caller_got,
    "target-executed": _executed,
    "target-finished": _finished,
    "fault-began": _fault_began,
    "fault-ended": _fault_ended,
    "node-address": _node_address,
    "node-started": _node_started,
    "node-stopping": _node_stopping,
    "node-stopped": _node_stopped,
    "config-in-force": _in_force,
}
