"""Hold subqueries while the view is not confirmed."""

from msgspec.structs import replace

from geraniumlead.coordination import AskUpstream
from geraniumlead.dispatch import StartCall
from geraniumlead.upstreams import Subquery


class HeldSteps:
    """Keep the retries, hedges and queued calls of open queries back.

    Their place was chosen by the view before the pause. They are checked against the
    confirmed view when they are released, so none goes to an upstream that left meanwhile.
    """

    __slots__ = ("_asks", "_starts")

    def __init__(self) -> None:
        self._asks: dict[str, tuple[AskUpstream, float]] = {}
        self._starts: dict[str, tuple[StartCall, float]] = {}

    def hold_ask(self, step: AskUpstream, now_ms: float) -> None:
        """Hold a subquery on its way to the dispatcher or to an owner."""
        self._asks[step.subquery.call_id] = (step, now_ms)

    def hold_start(self, step: StartCall, now_ms: float) -> None:
        """Hold a call that its upstream has room for."""
        self._starts[step.subquery.call_id] = (step, now_ms)

    def drop_ask(self, call_id: str) -> bool:
        """Forget a subquery that is no longer wanted; False when it was not held."""
        return self._asks.pop(call_id, None) is not None

    def drop_start(self, call_id: str) -> bool:
        """Forget a call that is no longer wanted; False when it was not held."""
        return self._starts.pop(call_id, None) is not None

    def take_asks(self, now_ms: float) -> list[AskUpstream]:
        """Return the held subqueries with the time that is left to them."""
        asks = [
            AskUpstream(_shorten(step.subquery, now_ms - held_ms), step.route)
            for step, held_ms in self._asks.values()
        ]
        self._asks.clear()
        return asks

    def take_starts(self, now_ms: float) -> list[tuple[StartCall, float]]:
        """Return the held calls, each with its remaining milliseconds."""
        starts = [
            (step, step.timeout_ms - (now_ms - held_ms)) for step, held_ms in self._starts.values()
        ]
        self._starts.clear()
        return starts


def _shorten(subquery: Subquery, held_ms: float) -> Subquery:
    return replace(subquery, remaining_ms=max(0.0, subquery.remaining_ms - held_ms))
