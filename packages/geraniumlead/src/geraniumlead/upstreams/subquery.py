from msgspec import Struct


class Subquery(Struct, frozen=True, array_like=True):
    """The part of a query that goes to one shard of one index version.

    ``call_id`` is unique for the instance that coordinates the query; a retry or hedge gets
    its own. ``remaining_ms`` is the time left when the message was built; the batch that
    carries it tells how long it waited. ``query`` is the JSON text of the query.
    ``fingerprint`` identifies contract, class and normalised query, to find queries that are
    suspected of crashing upstreams.
    """

    call_id: str
    request_id: str
    upstream_id: str
    service: str
    index_version: int
    shard: int
    remaining_ms: float
    query: bytes
    idempotent: bool = True
    customer: str = ""
    class_name: str = ""
    priority: int = 0
    fingerprint: int = 0
    attempt: int = 1
