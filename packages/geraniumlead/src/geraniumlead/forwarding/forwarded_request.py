from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest


@dataclass(slots=True)
class ForwardedRequest:
    """A caller's request, which is forwarded unchanged.

    ``key`` is unique in this process, while ``request_id`` is set by the caller and may repeat.
    ``target`` is the path and query as they were received. ``headers`` holds no hop-by-hop
    headers. Times are in milliseconds of the monotonic clock.

    ``wait_ms`` is how long the caller said that it waits, and ``waited_ms`` how much of that had
    passed at ``arrived_ms``: in a socket while this process was busy, or, for a peer's request, on
    the way. ``caller_rtt_ms`` is how long the request took from the caller to this instance plus
    how long the reply will take back. Only requests that a peer delegated to this instance have
    ``goal_left_ms``, the time from the arrival until the reply has to be sent, ``shards``, the
    shards to query, and ``shared_upstreams``, the upstream of each that the peer may query as well.
    """

    key: int
    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_ms: float
    wait_ms: float | None
    caller_rtt_ms: float = 0.0
    waited_ms: float = 0.0
    goal_left_ms: float | None = None
    shards: tuple[str, ...] = ()
    shared_upstreams: dict[str, str] = field(default_factory=dict)
    _fingerprint: int | None = field(default=None, repr=False, compare=False)

    @property
    def began_ms(self) -> float:
        """Return when the request reached this machine, or, of a peer's, should have."""
        return self.arrived_ms - self.waited_ms

    @property
    def fingerprint(self) -> int:
        """Return a hash that is the same for each repeat of the request by any caller."""
        if self._fingerprint is None:
            self._fingerprint = compute_fingerprint(self.method, self.host, self.target, self.body)
        return self._fingerprint

    @property
    def is_delegated(self) -> bool:
        """Return whether a peer delegated the request to this instance."""
        return bool(self.shards)


def compute_fingerprint(method: str, host: str, target: str, body: bytes) -> int:
    """Return a hash that is the same for each repeat of a request, on every instance."""
    return xxh3_64_intdigest(f"{method} {host} {target}\n".encode() + body)


def compute_part_fingerprint(fingerprint: int, service: str) -> int:
    """Return a hash that is the same for each repeat of one shard's part of a query."""
    return xxh3_64_intdigest(f"{fingerprint:x} {service}".encode())
