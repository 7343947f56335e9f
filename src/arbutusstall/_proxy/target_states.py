"""What targets say about themselves in their answers, at both proxies."""

import msgspec

from arbutusstall import _effects
from arbutusstall._proxy import target_log
from arbutusstall._shell import call_metrics
from arbutusstall._systems import target_limit
from arbutusstall._wire import messages

_MAX_NODES = 4_096


class LocalTargetState:
    """State of the local target, for its inbound proxy.

    It is learned from the target's answers. After a restart of the node the
    callers, which have kept it, tell it with their calls.

    Args:
        limit: Is set to the limit of the target.
        log: Logs each change.
    """

    def __init__(
        self, limit: target_limit.TargetLimit, log: target_log.TargetLog
    ) -> None:
        self._limit = limit
        self._log = log
        self._target: _effects.Announced | None = None
        self._known: messages.TargetState | None = None

    @property
    def leaving(self) -> bool:
        """Whether the target has said that it is about to stop."""
        return self._known is not None and self._known.leaving

    def set_target(self, target: _effects.Announced, now_ms: int) -> None:
        """Follow ``target``; what an earlier start has said is dropped."""
        before, self._target = self._target, target
        if before is None or before.start == target.start:
            return
        self._known = None
        self._apply_limit(None, now_ms)

    def learn_from_answer(
        self, state: messages.TargetState, sent: int, now_ms: int
    ) -> None:
        """Adopt what the target has just said.

        Args:
            sent: Number of requests sent to the target so far.
        """
        if self._is_current(state):
            self._adopt(state, sent, now_ms)

    def learn_from_caller(
        self, state: messages.TargetState | None, sent: int, now_ms: int
    ) -> None:
        """Adopt what the target has said to a caller.

        A limit is adopted only if nothing else is known of the target,
        since it may be out of date; a target that leaves does not return.
        """
        if state is None or not self._is_current(state):
            return
        if self._known is None:
            self._adopt(state, sent, now_ms)
        elif state.leaving:
            leaving = msgspec.structs.replace(self._known, leaving=True)
            self._adopt(leaving, sent, now_ms)

    def annotate(
        self, answer: messages.CallAnswer, call: messages.CallRequest
    ) -> messages.CallAnswer:
        """Return ``answer`` with the state, if the caller needs it.

        That is the case if the target restricts its callers, and if the
        caller sent a state that may be out of date.
        """
        state = self._known
        if state is None or answer.target_state is not None:
            return answer
        is_outdated = call.target_state not in (None, state)
        if not is_outdated and not state.restricts:
            return answer
        return msgspec.structs.replace(answer, target_state=state)

    def _is_current(self, state: messages.TargetState) -> bool:
        return self._target is not None and state.start == self._target.start

    def _adopt(
        self, state: messages.TargetState, sent: int, now_ms: int
    ) -> None:
        if self.leaving and not state.leaving:
            state = msgspec.structs.replace(state, leaving=True)
        before, self._known = self._known, state
        if before == state or self._target is None:
            return
        self._apply_limit(state.limit_per_s, now_ms)
        self._log.state_changed(self._target, before, state, sent)

    def _apply_limit(self, limit_per_s: float | None, now_ms: int) -> None:
        self._limit.set_rate(limit_per_s, now_ms)
        call_metrics.TARGET_LIMIT.set(limit_per_s or 0.0)


class RemoteTargetStates:
    """States of targets as their answers told them, for an outbound proxy.

    They are sent with the calls to the node of the target, which may have
    been restarted since.
    """

    def __init__(self) -> None:
        self._states_by_node: dict[str, messages.TargetState] = {}

    def get(self, node: str) -> messages.TargetState | None:
        """Return the state of the target of ``node``; None if unknown."""
        return self._states_by_node.get(node)

    def record(self, node: str, state: messages.TargetState | None) -> None:
        """Keep the state that came with an answer from ``node``.

        A state without restrictions ends what was kept before. None, in an
        answer that tells nothing, leaves it as it is.
        """
        if state is None:
            return
        self._states_by_node.pop(node, None)
        if not state.restricts:
            return
        self._states_by_node[node] = state
        if len(self._states_by_node) > _MAX_NODES:
            del self._states_by_node[next(iter(self._states_by_node))]
