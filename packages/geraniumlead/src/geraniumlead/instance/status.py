from msgspec import Struct, field

from geraniumlead.instance.upstream_status import ServiceStatus, UpstreamStatus


class InstanceStatus(Struct, frozen=True, kw_only=True):
    """The status of one instance as operators see it.

    Ages are in milliseconds, or None if nothing was received.
    """

    instance_id: str
    incarnation: str
    data_centre: str
    ready: bool
    stopping: bool
    revision: int
    platform_age_ms: float | None
    refused_documents: dict[str, str]
    open_requests: int
    peers: dict[str, bool]
    data_centres: dict[str, str]
    is_watcher: bool
    queued_requests: int = 0
    ambiguous_names: tuple[str, ...] = ()
    services: dict[str, ServiceStatus] = field(default_factory=dict)
    upstreams: dict[str, UpstreamStatus] = field(default_factory=dict)
    view_unconfirmed_ms: float | None = None
    held_requests: int = 0
