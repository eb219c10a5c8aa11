from geraniumlead.actions import Report, StopNow
from geraniumlead.instance.call_handler import CallHandler
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.instance.request_handler import RequestHandler
from geraniumlead.peer_messages import Goodbye


class StopHandler:
    """Shuts the instance down gracefully.

    It notifies the peers and ends the process once the work in progress is done. This work is
    more than the queries that this instance coordinates: peers' queries wait for upstreams that
    it owns, it waits for the issuers of tickets on behalf of its callers, and it holds requests
    in queues. Exiting earlier would also fail callers of other instances, which were not
    notified of the shutdown.
    """

    __slots__ = ("_calls", "_parts", "_requests")

    def __init__(self, parts: InstanceParts, calls: CallHandler, requests: RequestHandler) -> None:
        self._parts = parts
        self._calls = calls
        self._requests = requests

    def begin(self, now_ms: float) -> None:
        """Begin the shutdown; a second request has no effect and does not extend the time limit."""
        parts = self._parts
        if not parts.lifecycle.begin_stop(now_ms):
            return
        parts.actions.append(Report("stopping", {"work_in_hand": self.count_work()}))
        for instance_id in parts.membership.find_goodbye_targets():
            parts.send(instance_id, Goodbye(parts.incarnation))

    def exit_if_done(self, now_ms: float) -> None:
        """End the process once the work in progress is done or the time limit has passed."""
        parts = self._parts
        if not parts.lifecycle.is_stopping:
            return
        work = self.count_work()
        if parts.lifecycle.may_exit(work, now_ms):
            if work:
                parts.actions.append(Report("stop_bound_reached", {"cut_off": work}, "error"))
            parts.actions.append(StopNow(work))

    def count_work(self) -> int:
        """Return the number of requests and calls in progress."""
        parts = self._parts
        return (
            len(parts.coordinator)
            + self._calls.peer_call_count
            + parts.tickets.open_count
            + parts.admission.queued_requests
            + len(self._requests.held)
        )
