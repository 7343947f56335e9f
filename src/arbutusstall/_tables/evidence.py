"""Evidence that the configuration in force is the source's newest."""

import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class EvidenceTable:
    """What this node knows about the age of its configuration.

    Times are monotonic seconds of this node.

    Attributes:
        confirmed_s: Latest time at which the source is known to have had
            nothing newer than what is in force here; None if unknown.
        era: Era of the store in the last read; 0 if none was reported.
        not_before_s: Reads that were sent earlier than this do not count.
        next_read_s: When this node reads the source itself.
        failed_reads: Such reads since ``confirmed_s`` last advanced.
        is_fresh: Whether the evidence was young enough in the last run.
    """

    confirmed_s: float | None = None
    era: int = 0
    not_before_s: float = 0.0
    next_read_s: float = 0.0
    failed_reads: int = 0
    is_fresh: bool = False
