from enum import StrEnum


class ExtraAttemptCause(StrEnum):
    """Why a subrequest is sent again."""

    LATE = "late"
    """Its attempt is late."""

    FAILED = "failed"
    """Its attempt failed."""

    PEER_LATE = "peer_late"
    """It was delegated to a peer whose reply is late."""

    PEER_FAILED = "peer_failed"
    """It was delegated to a peer that did not get an answer, or was given up."""
