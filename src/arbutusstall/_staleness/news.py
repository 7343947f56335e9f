"""What a node knows about the age of its configuration."""

import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class SourceNews:
    """The newest news of the external source; monotonic times in seconds.

    Attributes:
        checked_s: Latest time at which the source is known to have had
            nothing newer than what is in force here; None if unknown.
        position: Position at which a read of what is newer starts; None
            if it is unknown.
        era: Era of the store in which the position is valid.
        announced_s: ``checked_s`` when the children last got a heartbeat
            because of it.
        is_late: Whether the news was too old in the last run.
        next_read_s: Earliest time of the next read of the source.
        reads: Reads of the source since ``checked_s`` last advanced.
    """

    checked_s: float | None = None
    position: int | None = None
    era: int = 0
    announced_s: float = 0.0
    is_late: bool = False
    next_read_s: float = 0.0
    reads: int = 0
