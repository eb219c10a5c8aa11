"""Names and limits of the deployment against which clients don't behave."""

HOST = "search.example"
BOOKING_PATH = "/book/1"
QUERY_PATH = "/search/1"
BIG_PATH = "/book/big"
HUGE_PATH = "/book/huge"
"""The paths of the unsafe route whose answers have the sizes below."""

MISBEHAVED_PATHS = (BOOKING_PATH, QUERY_PATH, "/nowhere/1", "/-/readyz")
"""Paths of both routes, one without a route, and that of the readiness checks."""

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 262_144
MESSAGE_TIMEOUT_MS = 3_000
IDLE_TIMEOUT_MS = 15_000
BIG_ANSWER_BYTES = 250_000
HUGE_ANSWER_BYTES = 3_000_000
ANSWER_BYTES = {BIG_PATH: BIG_ANSWER_BYTES, HUGE_PATH: HUGE_ANSWER_BYTES}
