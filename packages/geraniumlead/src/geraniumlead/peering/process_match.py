"""Decide which messages between other processes than the present ones are still acted upon.

Load pattern: an instance is killed and started again, several times within seconds, while its peers
have messages for it and of it under way.
"""

from enum import Enum

from geraniumlead.peering.messages import (
    CrashReports,
    DelegatedRequest,
    Goodbye,
    Hello,
    PeeringMessage,
    StateRequest,
)


class ProcessMatch(Enum):
    """Between which processes a message was sent."""

    PRESENT = "present"
    FOR_EARLIER = "for an earlier process"
    FROM_EARLIER = "from an earlier process"


KEPT_FOR_EARLIER = (Hello, Goodbye, DelegatedRequest, CrashReports, StateRequest)
"""Messages that tell of their sender, or ask for something that any process can do. The others are
about requests of the earlier process, or have ages that only its clock could tell."""

KEPT_FROM_EARLIER = (CrashReports,)
"""Messages that stay true when their sender is gone."""


def is_kept(message: PeeringMessage, match: ProcessMatch) -> bool:
    """Return whether a message is acted upon."""
    match match:
        case ProcessMatch.FOR_EARLIER:
            return isinstance(message, KEPT_FOR_EARLIER)
        case ProcessMatch.FROM_EARLIER:
            return isinstance(message, KEPT_FROM_EARLIER)
    return True
