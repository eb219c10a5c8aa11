from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.routes import Route

END_MARGIN_MS = 20.0
"""Time before the end of the caller's wait at which a reply is sent, so that it arrives in time."""


class Deadline:
    """The end of a request, and the time that its attempts were handed.

    ``end_ms`` is until when the request is worked on, and ``caller_end_ms`` until when its caller
    waits; the reply needs the time between. An attempt that is handed more time than its caller
    waits is an overrun: the upstream goes on working for nobody.
    """

    __slots__ = ("caller_end_ms", "end_ms", "max_handed_ms", "max_overrun_ms", "overruns")

    def __init__(self, end_ms: float, caller_end_ms: float) -> None:
        self.end_ms = end_ms
        self.caller_end_ms = caller_end_ms
        self.max_handed_ms = 0.0
        self.max_overrun_ms = 0.0
        self.overruns = 0

    @classmethod
    def from_request(cls, request: ForwardedRequest, route: Route) -> "Deadline":
        """Return the end of a request, however long it waited before it was read here.

        A request that states no wait has the timeout of its route. A peer states the end of its own
        work, from which the margin for the caller is already subtracted.
        """
        wait_ms = route.timeout_ms
        if request.wait_ms is not None:
            wait_ms = min(request.wait_ms, wait_ms)
        end_ms = request.began_ms + wait_ms
        if request.is_delegated:
            return cls(end_ms, end_ms + END_MARGIN_MS)
        return cls(end_ms - END_MARGIN_MS, end_ms)

    def left_ms(self, now_ms: float) -> float:
        """Return the time left to work on the request; negative after its end."""
        return self.end_ms - now_ms

    def record_handed(self, handed_ms: float, now_ms: float) -> None:
        """Record that an attempt which is written now was handed a time to answer."""
        self.max_handed_ms = max(self.max_handed_ms, handed_ms)
        overrun_ms = now_ms + handed_ms - self.caller_end_ms
        if overrun_ms > 0.0:
            self.overruns += 1
            self.max_overrun_ms = max(self.max_overrun_ms, overrun_ms)
