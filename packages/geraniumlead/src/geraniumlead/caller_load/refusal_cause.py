from enum import StrEnum


class RefusalCause(StrEnum):
    """Why a caller's request was refused, or its connection closed, before it was forwarded."""

    BODY_TOO_LARGE = "body_too_large"
    CONNECTIONS = "connections"
    HEAD_TOO_LARGE = "head_too_large"
    LEFT = "left"
    MALFORMED = "malformed"
    MEMORY = "memory"
    NOT_ROUTED = "not_routed"
    NOT_READING = "not_reading"
    OVERLOAD = "overload"
    TOO_SLOW = "too_slow"
