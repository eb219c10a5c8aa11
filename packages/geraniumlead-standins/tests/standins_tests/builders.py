"""Build small histories; times are in milliseconds."""

from geraniumlead_standins.history import History, HistoryEvent, RecordSeen

NS_PER_MS = 1_000_000


def event_at(time_ms: float, who: str, event: str, **fields) -> HistoryEvent:
    """Return an event at a time."""
    return HistoryEvent(at_ns=int(time_ms * NS_PER_MS), who=who, event=event, **fields)


def publish_index(time_ms: float = 0.0, version: int = 1, shards: int = 2) -> HistoryEvent:
    """Return the publication of an index version."""
    value = {"service": "ledger", "version": version, "shards": [{}] * shards}
    key = f"geraniumlead/indexes/ledger/{version}"
    return event_at(time_ms, "platform", "published", key=key, revision=version, value=value)


def publish_upstreams(
    time_ms: float = 0.0, states: dict[str, str] | None = None, revision: int = 10
) -> HistoryEvent:
    """Return the publication of the upstream list of noord with the given states."""
    states = states or {"u0": "serving", "u1": "serving"}
    entries = [{"upstream_id": name, "state": state} for name, state in states.items()]
    value = {"data_centre": "noord", "upstreams": entries}
    key = "geraniumlead/upstreams/noord"
    return event_at(time_ms, "platform", "published", key=key, revision=revision, value=value)


def publish_data_centre(time_ms: float, state: str, revision: int = 20) -> HistoryEvent:
    """Return the publication of noord's state."""
    value = {"name": "noord", "state": state}
    key = "geraniumlead/data-centres/noord"
    return event_at(time_ms, "platform", "published", key=key, revision=revision, value=value)


def start_process(time_ms: float = 0.0, instance: str = "a") -> HistoryEvent:
    """Return the start of an instance's process."""
    return event_at(time_ms, "faults", "process_started", instance=instance, incarnation="i1")


def send(time_ms: float = 10.0, request_id: str = "r1", **changes) -> HistoryEvent:
    """Return the ``sent`` event of a request to instance ``a``."""
    values = {"token": "t1", "instance": "a", "service": "ledger", "deadline_ms": 100.0}
    return event_at(time_ms, "caller", "sent", request_id=request_id, **(values | changes))


def run_shard(time_ms: float, shard: int, **changes) -> list[HistoryEvent]:
    """Return the start and the end of a run on the upstream of a shard."""
    values = {"request_id": "r1", "token": "t1", "index_version": 1, "shard": shard}
    values |= changes
    who = f"u{shard}"
    return [
        event_at(time_ms, who, "started", **values),
        event_at(time_ms + 1, who, "ran", record_count=1, **values),
    ]


def answer(time_ms: float = 20.0, shards: tuple[int, ...] = (0, 1), **changes) -> HistoryEvent:
    """Return a whole answer of version 1 with one record per shard."""
    values = {
        "request_id": "r1",
        "outcome": "whole",
        "index_version": 1,
        "asked": 2,
        "answered": len(shards),
        "records": tuple(RecordSeen(shard, 1, "t1") for shard in shards),
    }
    return event_at(time_ms, "caller", "answered", **(values | changes))


def build_served_history(*changes: HistoryEvent) -> History:
    """Return the history of a request whose two shards ran, with further events."""
    events = [publish_index(), publish_upstreams(), start_process(), send()]
    events += run_shard(12.0, 0) + run_shard(12.0, 1)
    return History([*events, *changes])
