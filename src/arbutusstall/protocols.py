"""Interfaces for driving the decision logic of nodes.

One `NodeCore` is the decision logic of one node. A driver calls
``start(now)`` once, then ``handle(event, now)`` for each event and
``tick(now)`` at a fixed interval, and carries out the returned effects in
order. Times are `Instant` values chosen by the driver, and random numbers
come from the generator passed to the constructor. Many cores can run in
one process.
"""

from arbutusstall._clock import Clock
from arbutusstall._clock import Instant
from arbutusstall._clock import ManualClock
from arbutusstall._clock import SystemClock
from arbutusstall._core import NodeCore
from arbutusstall._effects import AbsenceRecorded
from arbutusstall._effects import Announced
from arbutusstall._effects import Append
from arbutusstall._effects import Appended
from arbutusstall._effects import Connect
from arbutusstall._effects import Disconnect
from arbutusstall._effects import Effect
from arbutusstall._effects import Emit
from arbutusstall._effects import EvacuationChanged
from arbutusstall._effects import EvacuationsRead
from arbutusstall._effects import Event
from arbutusstall._effects import FollowLog
from arbutusstall._effects import KeysConfirmed
from arbutusstall._effects import Left
from arbutusstall._effects import LinkLost
from arbutusstall._effects import LogEntry
from arbutusstall._effects import LogFailed
from arbutusstall._effects import LogRead
from arbutusstall._effects import Observed
from arbutusstall._effects import Ordered
from arbutusstall._effects import Published
from arbutusstall._effects import PutInForce
from arbutusstall._effects import ReadSource
from arbutusstall._effects import Received
from arbutusstall._effects import RecordAbsence
from arbutusstall._effects import ReportRollout
from arbutusstall._effects import RosterRead
from arbutusstall._effects import Send
from arbutusstall._effects import SourceChanged
from arbutusstall._effects import SourceConfirmed
from arbutusstall._effects import StopLog
from arbutusstall._effects import StoreEraChanged
from arbutusstall._effects import TargetDeparted
from arbutusstall._effects import View
from arbutusstall._log.client import LogClient

__all__ = [
    "AbsenceRecorded",
    "Announced",
    "Append",
    "Appended",
    "Clock",
    "Connect",
    "Disconnect",
    "Effect",
    "Emit",
    "EvacuationChanged",
    "EvacuationsRead",
    "Event",
    "FollowLog",
    "Instant",
    "KeysConfirmed",
    "Left",
    "LinkLost",
    "LogClient",
    "LogEntry",
    "LogFailed",
    "LogRead",
    "ManualClock",
    "NodeCore",
    "Observed",
    "Ordered",
    "Published",
    "PutInForce",
    "ReadSource",
    "Received",
    "RecordAbsence",
    "ReportRollout",
    "RosterRead",
    "Send",
    "SourceChanged",
    "SourceConfirmed",
    "StopLog",
    "StoreEraChanged",
    "SystemClock",
    "TargetDeparted",
    "View",
]
