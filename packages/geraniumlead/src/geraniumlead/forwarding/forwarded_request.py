"""Define an opaque request."""

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest


@dataclass(slots=True)
class ForwardedRequest:
    """Hold a caller's request, which is passed on unchanged.

    ``key`` is unique in this process; ``request_id`` is the caller's own and may repeat.
    ``target`` is path and query as they were sent. ``headers`` leave out those of one
    connection. Times are of the monotonic clock, in milliseconds; ``wait_ms`` is how long
    the caller said it waits, and ``way_ms`` what the request's way has taken and the reply's
    will take. ``goal_left_ms`` is when the reply has to leave and ``shards``
    are those to ask, where a peer passed the request here.
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
    goal_left_ms: float | None = None
    shards: tuple[str, ...] = ()

    @property
    def fingerprint(self) -> int:
        """Return a hash that repeats of the request share, whoever sends them."""
        text = f"{self.method} {self.host} {self.target}\n".encode()
        return xxh3_64_intdigest(text + self.body)

    @property
    def is_delegated(self) -> bool:
        """Return whether a peer passed it here."""
        return bool(self.shards)
