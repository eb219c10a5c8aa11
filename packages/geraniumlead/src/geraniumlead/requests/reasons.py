"""Reasons that are reported to callers."""

from enum import StrEnum


class RefusalReason(StrEnum):
    """The reason why a request was not run."""

    RATE = "rate"
    CONCURRENCY = "concurrency"
    QUEUE_FULL = "queue_full"
    CANNOT_END_IN_TIME = "cannot_end_in_time"
    CONTRACT_EXPIRED = "contract_expired"
    CONTRACT_UNKNOWN = "contract_unknown"
    QUARANTINED = "quarantined"
    OUT_OF_SERVICE = "out_of_service"
    STALE_VIEW = "stale_view"
    NO_INDEX = "no_index"
    UPSTREAM_SHED = "upstream_shed"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_NEEDED = "ticket_needed"
    TICKET_INVALID = "ticket_invalid"
    HOT_KEY = "hot_key"
    FAN_OUT = "fan_out"


class MissingReason(StrEnum):
    """The reason why a shard is missing from an answer."""

    NO_REPLICA = "no_replica"
    DEADLINE = "deadline"
    SHED = "shed"
    CONNECTION_LOST = "connection_lost"
    VERSION_RETIRED = "version_retired"
    UPSTREAM_ERROR = "upstream_error"
    COLD = "cold"
    OVERDUE = "overdue"
