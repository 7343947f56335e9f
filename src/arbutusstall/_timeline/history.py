"""Indexes calls, executions, faults and node runs of a time line."""

from collections import abc
import dataclasses

from arbutusstall._timeline import lines

EVERY_NODE = "*"


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """One request of a caller.

    Attributes:
        sent: Its ``caller-sent`` line.
        got: Its ``caller-got`` line; None if the time line has none.
    """

    sent: lines.Line
    got: lines.Line | None = None

    @property
    def outcome(self) -> str:
        """Outcome that the caller logged; empty if it logged none.

        For example ``answer``, ``wrong``, ``not-run``, ``unknown`` or
        ``none``.
        """
        return self.got.get("outcome") if self.got else ""


@dataclasses.dataclass(kw_only=True, slots=True)
class Execution:
    """One execution of a request at a target.

    Attributes:
        started: Its ``target-executed`` line.
        finished: Its ``target-finished`` line; None if there is none.
    """

    started: lines.Line
    finished: lines.Line | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class Fault:
    """An injected fault.

    Attributes:
        kind: For example ``kill``, ``freeze``, ``log-out`` or
            ``bad-version``.
        nodes: Names of the affected nodes, or `EVERY_NODE`.
        began: Its ``fault-began`` line.
        ended_s: When it ended; None if it never did.
    """

    kind: str
    nodes: frozenset[str]
    began: lines.Line
    ended_s: float | None = None

    def affects(self, node: str) -> bool:
        """Return whether the fault affects ``node``."""
        return EVERY_NODE in self.nodes or node in self.nodes


@dataclasses.dataclass(kw_only=True, slots=True)
class NodeRun:
    """One process of a node, from its start to its end.

    Attributes:
        ended_s: When it began a planned stop or was killed; None if the
            time line shows neither.
        stopping_s: When it began a planned stop.
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
    """Events of a time line, indexed for the checks.

    Lists and mappings are in the order of the time line.

    Attributes:
        end_s: Time of the last line.
        nodes_by_address: Nodes by the address that they listen on for
            callers.
    """

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
        """Return all lines with the event name ``event``."""
        return self.lines_by_event.get(event, [])


def build(merged: abc.Iterable[lines.Line]) -> History:
    """Return the history of a merged time line.

    Args:
        merged: Lines of all processes, in the order of the time line.
    """
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


def _target_executed(history: History, line: lines.Line) -> None:
    execution = Execution(started=line)
    history.executions.append(execution)
    executions = history.executions_by_request.setdefault(
        line.get("request"), []
    )
    executions.append(execution)


def _target_finished(history: History, line: lines.Line) -> None:
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
    # A kill has no end event: it is over at once, and so are the runs of
    # the nodes that it affects.
    fault.ended_s = line.at_s
    for run in history.runs_by_id.values():
        if run.ended_s is None and fault.affects(run.node):
            run.ended_s = line.at_s


def _fault_ended(history: History, line: lines.Line) -> None:
    for fault in history.faults:
        same_id = fault.began.get("id") == line.get("id")
        if same_id and fault.ended_s is None:
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


def _config_in_force(history: History, line: lines.Line) -> None:
    run = history.runs_by_id.get(line.run)
    if run is not None:
        run.in_force.append(line)


_HANDLERS: dict[str, abc.Callable[[History, lines.Line], None]] = {
    "caller-sent": _caller_sent,
    "caller-got": _caller_got,
    "target-executed": _target_executed,
    "target-finished": _target_finished,
    "fault-began": _fault_began,
    "fault-ended": _fault_ended,
    "node-address": _node_address,
    "node-started": _node_started,
    "node-stopping": _node_stopping,
    "node-stopped": _node_stopped,
    "config-in-force": _config_in_force,
}
