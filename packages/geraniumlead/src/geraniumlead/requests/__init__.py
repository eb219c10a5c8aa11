"""Callers' requests and their outcomes."""

from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.coverage import Coverage
from geraniumlead.requests.missing_shard import MissingShard
from geraniumlead.requests.outcome_codec import decode_outcome, encode_outcome
from geraniumlead.requests.outcomes import Answered, Failed, NotRun, Outcome, Unknown
from geraniumlead.requests.reasons import MissingReason, RefusalReason

__all__ = [
    "Answered",
    "CallerRequest",
    "Coverage",
    "Failed",
    "MissingReason",
    "MissingShard",
    "NotRun",
    "Outcome",
    "RefusalReason",
    "Unknown",
    "decode_outcome",
    "encode_outcome",
]
