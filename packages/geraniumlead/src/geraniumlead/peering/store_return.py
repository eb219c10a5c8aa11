from dataclasses import dataclass
from enum import Enum


class ReturnCause(Enum):
    """Why an answer of the store, or a peer's word of one, may look like the end of an outage."""

    OUTAGE = "outage"
    PEER_OUTAGE = "outage seen by a peer"
    REFUTED = "outage seen by a peer that answers contradict"
    SUSPECTED_OUTAGE = "silence of those who read the store"
    FIRST_READ = "first read"
    STATE_READ = "whole state read"
    FAILED_CALLS = "failed calls"

    @property
    def is_outage(self) -> bool:
        """Return whether entries of live upstreams may have lapsed."""
        return self in (
            ReturnCause.OUTAGE,
            ReturnCause.PEER_OUTAGE,
            ReturnCause.SUSPECTED_OUTAGE,
        )


@dataclass(frozen=True, slots=True)
class StoreReturn:
    """The store answers again, or everything was read anew.

    ``unknown_ms`` is for how long nobody was known to get answers; None if nothing was known
    before.
    """

    cause: ReturnCause
    unknown_ms: float | None
