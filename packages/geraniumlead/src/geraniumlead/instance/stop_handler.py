"""Stop gracefully: tell the peers, end the work in hand, and exit."""

from geraniumlead.actions import Report, StopNow
from geraniumlead.instance.call_handler import CallHandler
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.instance.request_handler import RequestHandler
from geraniumlead.peers import Goodbye


class StopHandler:
    """Begin the graceful stop and end the process once nothing waits for it.

    Work in hand is more than the queries that this instance coordinates: it owns upstreams
    that peers' queries wait for, it waits for the issuers of tickets on behalf of its
    callers, and holds requests in queues. To exit before cuts off callers of other
    instances too, who were never told of the stop.
    """

    __slots__ = ("_calls", "_parts", "_requests")

    def __init__(self, parts: InstanceParts, calls: CallHandler, requests: RequestHandler) -> None:
        self._parts = parts
        self._calls = calls
        self._requests = requests

    def begin(self, now_ms: float) -> None:
        """Begin the stop; a second wish changes nothing, so its bound still holds."""
        parts = self._parts
        if not parts.lifecycle.ask_stop(now_ms):
            return
        parts.actions.append(Report("stopping", {"work_in_hand": self.count_work()}))
        for instance_id in parts.membership.find_goodbye_targets():
            parts.send(instance_id, Goodbye(parts.incarnation))

    def exit_if_done(self, now_ms: float) -> None:
        """End the process when the work in hand has ended, or its bound has passed."""
        parts = self._parts
        if not parts.lifecycle.is_stopping:
            return
        work = self.count_work()
        if parts.lifecycle.may_exit(work, now_ms):
            if work:
                parts.actions.append(Report("stop_bound_reached", {"cut_off": work}, "error"))
            parts.actions.append(StopNow(work))

    def count_work(self) -> int:
        """Return how much somebody still waits for."""
        parts = self._parts
        return (
            len(parts.coordinator)
            + self._calls.peer_call_count
            + parts.tickets.open_count
            + parts.admission.queued_requests
            + len(self._requests.held)
        )
