"""Name the headers, paths and keys of the platform."""

REQUEST_ID_HEADER = "Request-Id"
WAIT_HEADER = "Deadline-Ms"
"""How long the caller waits, in milliseconds from now; no point in time, as its name says."""

UPSTREAM_ID_HEADER = "Expect-Instance"
"""Id of the upstream that is meant; what it calls an instance is our upstream."""

SIGNATURE_HEADER = "Response-Stamp"
NOT_EXECUTED_HEADER = "Not-Executed"
PART_SIGNATURES_HEADER = "Part-Stamps"
MISSING_PARTS_HEADER = "Missing-Parts"
RETRY_AFTER_HEADER = "Retry-After"

BALANCER_QUESTION = "/-/readyz"
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
"""Headers that concern one connection only; the length is set anew for each."""
