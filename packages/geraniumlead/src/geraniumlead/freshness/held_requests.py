from geraniumlead.requests.caller_request import CallerRequest

MIN_REMAINING_MS = 20.0
"""Minimum time that a request needs after being held; with less, only a refusal is possible in
time."""


class HeldRequests:
    """Holds callers' requests in order of arrival until the view is confirmed.

    A confirmation takes one round trip to a peer, so most callers notice nothing. The number
    of held requests is limited, so that those which accumulate during a long pause cannot
    exhaust the memory.
    """

    __slots__ = ("_max_requests", "_requests")

    def __init__(self, max_requests: int) -> None:
        self._max_requests = max_requests
        self._requests: dict[str, CallerRequest] = {}

    def __len__(self) -> int:
        """Return the number of held requests."""
        return len(self._requests)

    def hold(self, request: CallerRequest, now_ms: float) -> bool:
        """Hold a request; return False if it cannot finish in time or the limit is reached."""
        if (
            request.deadline_ms - now_ms < MIN_REMAINING_MS
            or len(self._requests) >= self._max_requests
        ):
            return False
        self._requests[request.request_id] = request
        return True

    def drop(self, request_id: str) -> bool:
        """Discard a request whose caller disconnected; return False if it was not held."""
        return self._requests.pop(request_id, None) is not None

    def release(self) -> list[CallerRequest]:
        """Remove and return all held requests."""
        released = list(self._requests.values())
        self._requests.clear()
        return released

    def expire(self, now_ms: float) -> list[CallerRequest]:
        """Remove and return the requests that can no longer finish in time."""
        late = [
            request
            for request in self._requests.values()
            if request.deadline_ms - now_ms < MIN_REMAINING_MS
        ]
        for request in late:
            del self._requests[request.request_id]
        return late

    def next_wake_ms(self) -> float | None:
        """Return when the first held request can no longer finish in time; None if none is held."""
        if not self._requests:
            return None
        earliest_ms = min(request.deadline_ms for request in self._requests.values())
        return earliest_ms - MIN_REMAINING_MS + 0.001
