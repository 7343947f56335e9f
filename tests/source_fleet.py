"""A simulated fleet that follows an external source of configurations.

Each read of the source waits for something new, as the store's reads do,
and can be refused or left without an answer for chosen nodes.
"""

from collections import abc
import dataclasses
import enum

import driver
import fleet
import platform_mesh

from arbutusstall import protocols
from arbutusstall import settings as node_settings
from arbutusstall._log import pacing
from arbutusstall._staleness import decisions as staleness
from arbutusstall._tables import agreed
from arbutusstall._tables import versions
from arbutusstall.platform import settings as platform_settings

# The shortest bound that a deployment of the users sets.
APPLY_S = 2.0
# A node is judged once nothing has disturbed it for this long.
STABLE_S = 3.0
_ANSWER_S = 0.004
_CHECK_S = 0.02
_CONNECT_TIMEOUT_S = 1.0
_SETTLE_S = 15.0


class Reach(enum.Enum):
    """What the store does with the reads of a node.

    Attributes:
        ANSWERED: It answers them.
        REFUSED: It refuses them at once.
        SILENT: It does not answer them, nor those that are waiting.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Read:
    """One read of the source.

    Attributes:
        position: Newest version that the reader knows; None to read all.
        failures: Earlier reads in a row that failed.
        pause_s: Time between the last answer and this read.
        is_single: Whether no other read follows it.
    """

    name: str
    core: protocols.NodeCore
    began_s: float
    position: int | None
    failures: int = 0
    pause_s: float = 0.0
    is_single: bool = False


class SourceFleet(driver.Driver):
    """Simulates the readers of a source and machines without power.

    Attributes:
        acked: Time and version of each configuration of the source.
        readers: Names of the nodes that have read the source since it was
            last cleared.
        oldest_s: Longest time for which a node that was judged lacked a
            configuration that the source had acknowledged.
        late: Names of nodes that lacked one for longer than `APPLY_S`.
    """

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed)
        self.acked: list[tuple[float, int]] = []
        self.readers: set[str] = set()
        self.oldest_s = 0.0
        self.late: set[str] = set()
        self._reach_by_name: dict[str, Reach] = {}
        self._silent_since_s_by_name: dict[str, float] = {}
        self._reading_by_name: dict[str, object] = {}
        self._disturbed_s_by_name: dict[str, float] = {}
        self._without_power: set[str] = set()

    def publish(self) -> None:
        """Store and acknowledge the next configuration."""
        self.acked.append((self.now_s, len(self.acked) + 1))

    def set_reach(self, name: str, reach: Reach) -> None:
        """Change what the store does with the reads of a node."""
        self._disturb(name)
        self._reach_by_name[name] = reach
        if reach is Reach.SILENT:
            self._silent_since_s_by_name[name] = self.now_s

    def power_off(self, name: str) -> None:
        """Remove a node whose links go silent and which accepts none."""
        self._disturb(name)
        del self.cores_by_name[name]
        self._next_offset_by_name.pop(name, None)
        self._pending_events_by_name.pop(name, None)
        self._without_power.add(name)

    def watch(self, seconds: float) -> None:
        """Advance time and record which nodes lack a configuration."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.run(_CHECK_S)
            for name, core in self.cores_by_name.items():
                if self._is_judged(name):
                    self._record_age(name, core)

    def carry_out(self, name: str, effect: protocols.Effect) -> None:
        """Send a single read of the source."""
        if isinstance(effect, protocols.ReadSource):
            self._send_read(
                Read(
                    name=name,
                    core=self.cores_by_name[name],
                    began_s=self.now_s,
                    position=None,
                    is_single=True,
                )
            )

    def _apply(
        self, name: str, effects: abc.Iterable[protocols.Effect]
    ) -> None:
        effects = list(effects)
        super()._apply(name, effects)
        for effect in effects:
            if isinstance(effect, protocols.FollowLog):
                self._follow(name)
            elif isinstance(effect, protocols.StopLog):
                self._reading_by_name.pop(name, None)

    def _follow(self, name: str) -> None:
        core = self.cores_by_name[name]
        self._reading_by_name[name] = core
        self._send_read(
            Read(name=name, core=core, began_s=self.now_s, position=None)
        )

    def _send_read(self, read: Read) -> None:
        if not self._is_wanted(read):
            return
        self.readers.add(read.name)
        if self._reach(read.name) is Reach.REFUSED:
            self.after(_ANSWER_S, lambda: self._fail(read))
            return
        self.after(_ANSWER_S, lambda: self._try_answer(read))

    def _try_answer(self, read: Read) -> None:
        settings = read.core.tables.settings
        wait_s = 0.0
        if read.position is not None:
            wait_s = pacing.read_wait_s(
                settings.log, staleness.poll_s(settings), read.pause_s
            )
        waited_s = self.now_s - read.began_s
        if self._is_unanswered(read):
            if waited_s >= wait_s + settings.log.request_timeout_s:
                self._fail(read)
                return
        elif self._newest > (read.position or 0) or waited_s >= wait_s:
            self._answer(read)
            return
        self.after(_CHECK_S, lambda: self._try_answer(read))

    def _answer(self, read: Read) -> None:
        if not self._is_wanted(read):
            return
        if read.failures:
            self.put(read.name, protocols.SourceChanged(available=True))
        newest = self._newest
        if newest > (read.position or 0):
            self.put(read.name, _published(newest))
        self.put(
            read.name,
            protocols.SourceConfirmed(
                sent_s=read.began_s, checked_s=self.now_s, position=newest
            ),
        )
        if read.is_single:
            return
        settings = read.core.tables.settings.log
        pause_s = pacing.read_pause_s(settings, read.began_s, self.now_s)
        self._read_again(read, pause_s, position=newest, failures=0)

    def _fail(self, read: Read) -> None:
        if read.is_single or not self._is_wanted(read):
            return
        if not read.failures:
            self.put(read.name, protocols.SourceChanged(available=False))
        settings = read.core.tables.settings.log
        pause_s = pacing.backoff_s(settings, read.failures, self.rng)
        self._read_again(
            read, pause_s, position=None, failures=read.failures + 1
        )

    def _read_again(
        self, read: Read, pause_s: float, **changes: int | None
    ) -> None:
        began_s = self.now_s + pause_s
        read = dataclasses.replace(
            read, began_s=began_s, pause_s=pause_s, **changes
        )
        self.after(pause_s, lambda: self._send_read(read))

    @property
    def _newest(self) -> int:
        return len(self.acked)

    def _reach(self, name: str) -> Reach:
        return self._reach_by_name.get(name, Reach.ANSWERED)

    def _is_wanted(self, read: Read) -> bool:
        if self.cores_by_name.get(read.name) is not read.core:
            return False
        is_followed = self._reading_by_name.get(read.name) is read.core
        return read.is_single or is_followed

    def _is_unanswered(self, read: Read) -> bool:
        silent_s = self._silent_since_s_by_name.get(read.name, -1.0)
        is_silent = self._reach(read.name) is not Reach.ANSWERED
        return is_silent or silent_s >= read.began_s

    def _disturb(self, name: str) -> None:
        self._disturbed_s_by_name[name] = self.now_s

    def _is_judged(self, name: str) -> bool:
        if self._reach(name) is not Reach.ANSWERED or name in self.frozen:
            return False
        disturbed_s = self._disturbed_s_by_name.get(name, -STABLE_S)
        return self.now_s - disturbed_s >= STABLE_S

    def _record_age(self, name: str, core: protocols.NodeCore) -> None:
        known = core.tables.snapshot.source_version
        acked_s = next((at for at, number in self.acked if number > known), -1)
        if acked_s < 0:
            return
        age_s = self.now_s - acked_s
        self.oldest_s = max(self.oldest_s, age_s)
        if age_s > APPLY_S:
            self.late.add(name)

    def _connect(self, name: str, effect: protocols.Connect) -> None:
        other = self._names_by_address.get(effect.address, "")
        if other in self._without_power:
            lost = protocols.LinkLost(peer=effect.address, reason="no answer")
            self.after(_CONNECT_TIMEOUT_S, lambda: self.put(name, lost))
            return
        super()._connect(name, effect)


def build(count: int, centres: list[str], seed: int) -> SourceFleet:
    """Return a fleet on the platform's settings that has settled."""
    nodes = SourceFleet(seed=seed)
    platform = _platform_settings()
    for index in range(count):
        centre = centres[index % len(centres)]
        nodes.add(
            dataclasses.replace(
                fleet.settings(index, centre, platform.relay),
                log=platform.log,
                tenants=platform.tenants,
            )
        )
    nodes.publish()
    fleet.wait_until(
        nodes, lambda: fleet.is_settled(nodes, len(centres)), _SETTLE_S
    )
    nodes.run(_SETTLE_S)
    return nodes


def _platform_settings() -> node_settings.NodeSettings:
    text = platform_mesh.settings_text(
        node="n", service="kvoty", store="10.255.0.1:7000", first_port=7000
    )
    bounds = f'bounds = ["configApply={APPLY_S:g}s",'
    text = text.replace("bounds = [", bounds)
    return platform_settings.decode(text.encode(), "settings").node


def _published(number: int) -> protocols.Published:
    return protocols.Published(
        source_version=versions.Version(number),
        services=(agreed.Service(name="kvoty"),),
        routes=(agreed.Route(prefix=f"a.example/{number}/", service="kvoty"),),
    )
