"""Encode subqueries and decode answers in the upstreams' JSON."""

from msgspec import DecodeError, Raw, Struct, ValidationError
from msgspec.json import Decoder, Encoder

from geraniumlead.upstreams import (
    Cold,
    Draining,
    Records,
    Shed,
    Subquery,
    UpstreamAnswer,
    UpstreamError,
    WrongVersion,
)

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503
DEFAULT_RETRY_AFTER_MS = 50.0


class SubqueryBody(Struct):
    """The body of POST /v1/subqueries."""

    call_id: str
    request_id: str
    service: str
    index_version: int
    shard: int
    query: Raw


class RecordsBody(Struct):
    """The body of an answer with records."""

    index_version: int
    shard: int
    records: Raw
    cold: bool = False


class RefusalBody(Struct):
    """The body of an answer without records."""

    error: str
    retry_after_ms: float = DEFAULT_RETRY_AFTER_MS
    held_versions: tuple[int, ...] = ()


_ENCODER = Encoder()
_RECORDS = Decoder(RecordsBody)
_REFUSAL = Decoder(RefusalBody)


def encode_subquery(subquery: Subquery) -> bytes:
    """Return the JSON text of a subquery."""
    return _ENCODER.encode(
        SubqueryBody(
            call_id=subquery.call_id,
            request_id=subquery.request_id,
            service=subquery.service,
            index_version=subquery.index_version,
            shard=subquery.shard,
            query=Raw(subquery.query),
        )
    )


def read_answer(status: int, body: bytes) -> UpstreamAnswer:
    """Return the decoded answer of an upstream's HTTP response."""
    try:
        if status == STATUS_OK:
            found = _RECORDS.decode(body)
            return Records(found.index_version, found.shard, bytes(found.records), found.cold)
        if status in (STATUS_CONFLICT, STATUS_UNAVAILABLE):
            return _read_refusal(_REFUSAL.decode(body), status)
    except (DecodeError, ValidationError):
        pass
    return UpstreamError(status)


def _read_refusal(refusal: RefusalBody, status: int) -> UpstreamAnswer:
    match refusal.error:
        case "shed":
            return Shed(refusal.retry_after_ms)
        case "cold":
            return Cold()
        case "draining":
            return Draining()
        case "wrong_version":
            return WrongVersion(refusal.held_versions)
    return UpstreamError(status)
