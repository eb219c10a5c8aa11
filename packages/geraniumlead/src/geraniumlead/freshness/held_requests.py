"""Hold callers' requests while the view is not confirmed."""

from geraniumlead.requests.caller_request import CallerRequest

LEAST_REMAINING_MS = 20.0
"""Time that a request needs after its hold; below it, only a refusal can come in time."""


class HeldRequests:
    """Let requests wait for the view, in the order of their arrival.

    A confirmation takes one round trip to a peer, so most callers notice nothing. The
    number is bounded: what a long pause lets pile up must not fill the memory.
    """

    __slots__ = ("_most", "_requests")

    def __init__(self, most: int) -> None:
        self._most = most
        self._requests: dict[str, CallerRequest] = {}

    def __len__(self) -> int:
        """Return the number of held requests."""
        return len(self._requests)

    def hold(self, request: CallerRequest, now_ms: float) -> bool:
        """Hold a request; False when it cannot end in time or there is no place."""
        if request.deadline_ms - now_ms < LEAST_REMAINING_MS or len(self._requests) >= self._most:
            return False
        self._requests[request.request_id] = request
        return True

    def drop(self, request_id: str) -> bool:
        """Forget a request whose caller is gone; False when it was not held."""
        return self._requests.pop(request_id, None) is not None

    def release(self) -> list[CallerRequest]:
        """Return all held requests and hold them no longer."""
        released = list(self._requests.values())
        self._requests.clear()
        return released

    def expire(self, now_ms: float) -> list[CallerRequest]:
        """Return the requests that can no longer end in time."""
        late = [
            request
            for request in self._requests.values()
            if request.deadline_ms - now_ms < LEAST_REMAINING_MS
        ]
        for request in late:
            del self._requests[request.request_id]
        return late

    def next_wake_ms(self) -> float | None:
        """Return when the first held request can no longer end in time."""
        if not self._requests:
            return None
        earliest_ms = min(request.deadline_ms for request in self._requests.values())
        return earliest_ms - LEAST_REMAINING_MS + 0.001
