"""Encode outcomes for the peer that forwarded the request."""

from msgspec import Struct
from msgspec.msgpack import decode, encode

from geraniumlead.requests.coverage import Coverage
from geraniumlead.requests.missing_shard import MissingShard
from geraniumlead.requests.outcomes import Answered, Failed, NotRun, Outcome, Unknown
from geraniumlead.requests.reasons import RefusalReason


class _AnsweredWire(Struct, array_like=True, tag=1):
    index_version: int
    asked_shards: int
    answered_shards: int
    missing: tuple[MissingShard, ...]
    records: tuple[bytes, ...]


class _NotRunWire(Struct, array_like=True, tag=2):
    reason: RefusalReason
    retry_after_ms: float


class _UnknownWire(Struct, array_like=True, tag=3):
    detail: str


class _FailedWire(Struct, array_like=True, tag=4):
    detail: str


_Wire = _AnsweredWire | _NotRunWire | _UnknownWire | _FailedWire


def encode_outcome(outcome: Outcome) -> bytes:
    """Return the msgpack bytes of an outcome."""
    match outcome:
        case Answered(index_version=version, coverage=coverage, records=records):
            wire: _Wire = _AnsweredWire(
                version,
                coverage.asked_shards,
                coverage.answered_shards,
                coverage.missing,
                records,
            )
        case NotRun(reason=reason, retry_after_ms=retry_after_ms):
            wire = _NotRunWire(reason, retry_after_ms)
        case Unknown(detail=detail):
            wire = _UnknownWire(detail)
        case Failed(detail=detail):
            wire = _FailedWire(detail)
    return encode(wire)


def decode_outcome(data: bytes) -> Outcome:
    """Return the outcome in ``data``; raise msgspec.DecodeError if it is malformed."""
    match decode(data, type=_Wire):
        case _AnsweredWire() as wire:
            coverage = Coverage(wire.asked_shards, wire.answered_shards, wire.missing)
            return Answered(wire.index_version, coverage, wire.records)
        case _NotRunWire() as wire:
            return NotRun(wire.reason, wire.retry_after_ms)
        case _UnknownWire() as wire:
            return Unknown(wire.detail)
        case _FailedWire() as wire:
            return Failed(wire.detail, None)
    raise AssertionError("the union has no other member")
