"""Define calls to upstreams and their outcomes."""

from geraniumlead.upstreams.answers import (
    AnswerKind,
    Cold,
    ConnectionLost,
    Draining,
    NotReached,
    Records,
    Shed,
    TimedOut,
    UpstreamAnswer,
    UpstreamError,
    WrongVersion,
)
from geraniumlead.upstreams.subquery import Subquery

__all__ = [
    "AnswerKind",
    "Cold",
    "ConnectionLost",
    "Draining",
    "NotReached",
    "Records",
    "Shed",
    "Subquery",
    "TimedOut",
    "UpstreamAnswer",
    "UpstreamError",
    "WrongVersion",
]
