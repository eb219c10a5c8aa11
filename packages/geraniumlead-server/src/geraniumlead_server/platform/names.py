"""Headers, paths, keys and statuses of the platform."""

REQUEST_ID_HEADER = "Request-Id"
WAIT_HEADER = "Deadline-Ms"
"""How long the caller waits, in milliseconds from now; despite its name not a point in time."""

UPSTREAM_ID_HEADER = "Expect-Instance"
"""Id of the upstream that a request is meant for; the platform calls upstreams instances."""

SIGNATURE_HEADER = "Response-Stamp"
NOT_EXECUTED_HEADER = "Not-Executed"
PART_SIGNATURES_HEADER = "Part-Stamps"
MISSING_PARTS_HEADER = "Missing-Parts"
RETRY_AFTER_HEADER = "Retry-After"

READINESS_PATH = "/-/readyz"
RANGE_PATH = "/-/kv-range"
WATCH_PATH = "/-/kv-watch"

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"

OTHER_UPSTREAM_STATUS = 421
HISTORY_GONE_STATUS = 410

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)
"""Hop-by-hop headers, and the length, which is set again for each connection."""
