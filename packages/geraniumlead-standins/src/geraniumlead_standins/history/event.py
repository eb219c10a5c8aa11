from typing import Any

from msgspec import Struct

from geraniumlead_standins.history.record_seen import RecordSeen


class HistoryEvent(Struct, kw_only=True, omit_defaults=True):
    """One line of a history; ``docs/reference/history.md`` describes every event.

    ``who`` is the process or component that saw the event at ``at_ns``. Fields that an event
    does not use keep their defaults. ``token`` identifies the operation of a request: all its
    attempts share it. ``instance`` is the entry instance that a caller sent the request to, the
    instance that called an upstream, or the one whose process changed its state.
    """

    at_ns: int
    who: str
    event: str
    request_id: str = ""
    call_id: str = ""
    token: str = ""
    instance: str = ""
    incarnation: str = ""
    data_centre: str = ""
    service: str = ""
    class_name: str = ""
    idempotent: bool = True
    one_shard: bool = False
    attempt: int = 1
    deadline_ms: float = 0.0
    shard: int = -1
    index_version: int = 0
    outcome: str = ""
    reason: str = ""
    asked: int = 0
    answered: int = 0
    missing: tuple[int, ...] = ()
    records: tuple[RecordSeen, ...] = ()
    record_count: int = 0
    allowance: int = 0
    running: int = 0
    key: str = ""
    revision: int = 0
    revisions: dict[str, int] = {}
    value: Any = None
    pairs: tuple[tuple[str, str], ...] = ()
    ready: bool = False
    cut_off: int = 0
