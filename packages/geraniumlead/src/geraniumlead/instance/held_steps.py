from msgspec.structs import replace

from geraniumlead.coordination import SendSubquery
from geraniumlead.dispatch import StartCall
from geraniumlead.upstreams import Subquery


class HeldSteps:
    """Holds the subqueries and calls of open queries while the view is not confirmed.

    These are retries, hedges and queued calls whose upstream was chosen by the view before
    the pause. They are checked against the confirmed view when they are released, so none is
    sent to an upstream that has been removed in the meantime.
    """

    __slots__ = ("_calls", "_subqueries")

    def __init__(self) -> None:
        self._subqueries: dict[str, tuple[SendSubquery, float]] = {}
        self._calls: dict[str, tuple[StartCall, float]] = {}

    def hold_subquery(self, step: SendSubquery, now_ms: float) -> None:
        """Hold a subquery that is to be sent to the dispatcher or to an owner."""
        self._subqueries[step.subquery.call_id] = (step, now_ms)

    def hold_call(self, step: StartCall, now_ms: float) -> None:
        """Hold a call for which its upstream has a free slot."""
        self._calls[step.subquery.call_id] = (step, now_ms)

    def drop_subquery(self, call_id: str) -> bool:
        """Discard a cancelled subquery; return False if it was not held."""
        return self._subqueries.pop(call_id, None) is not None

    def drop_call(self, call_id: str) -> bool:
        """Discard a cancelled call; return False if it was not held."""
        return self._calls.pop(call_id, None) is not None

    def drain_subqueries(self, now_ms: float) -> list[SendSubquery]:
        """Remove and return the held subqueries, with their remaining time updated."""
        steps = [
            SendSubquery(_shorten(step.subquery, now_ms - held_ms), step.route)
            for step, held_ms in self._subqueries.values()
        ]
        self._subqueries.clear()
        return steps

    def drain_calls(self, now_ms: float) -> list[tuple[StartCall, float]]:
        """Remove and return the held calls, each with its remaining milliseconds."""
        starts = [
            (step, step.timeout_ms - (now_ms - held_ms)) for step, held_ms in self._calls.values()
        ]
        self._calls.clear()
        return starts


def _shorten(subquery: Subquery, held_ms: float) -> Subquery:
    return replace(subquery, remaining_ms=max(0.0, subquery.remaining_ms - held_ms))
