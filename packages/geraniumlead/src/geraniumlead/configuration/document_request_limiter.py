REQUEST_TIMEOUT_MS = 300.0
"""Time after which requests count as lost; a megabyte takes some tens of milliseconds."""

MAX_OPEN_REQUESTS = 16


class DocumentRequestLimiter:
    """Limits the requests for documents that an instance has open at the same time.

    Load pattern: a change reaches an instance through many heartbeats and announcements at the
    same time. Without a limit it would request the documents from each sender, and receive the
    same large documents each time. If messages are lost, one request at a time is too few: with
    half of the messages lost, seven of fifteen changes arrived late. The limit therefore doubles
    each time that all requests were lost.
    """

    __slots__ = ("_limit", "_request_count", "_round_started_ms", "_wanted_revision")

    def __init__(self) -> None:
        self._limit = 1
        self._request_count = 0
        self._round_started_ms: float | None = None
        self._wanted_revision = 0

    def may_request(self, own_revision: int, wanted_revision: int, now_ms: float) -> bool:
        """Return whether to request documents up to a revision, and count the request."""
        if own_revision >= self._wanted_revision:
            self._limit, self._round_started_ms = 1, None
        self._wanted_revision = max(self._wanted_revision, wanted_revision)
        if self._round_started_ms is None or now_ms - self._round_started_ms >= REQUEST_TIMEOUT_MS:
            if self._round_started_ms is not None:
                self._limit = min(MAX_OPEN_REQUESTS, 2 * self._limit)
            self._round_started_ms, self._request_count = now_ms, 0
        if self._request_count >= self._limit:
            return False
        self._request_count += 1
        return True
