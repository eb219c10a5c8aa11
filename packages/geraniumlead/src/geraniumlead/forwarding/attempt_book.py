"""Send attempts, remember which are out, and learn from their ends."""

from random import Random

from geraniumlead.fleet import FleetView, UpstreamRecord
from geraniumlead.forwarding.actions import CancelAttempt, ForwardingAction, StartAttempt
from geraniumlead.forwarding.cut_off_watch import CutOffWatch
from geraniumlead.forwarding.data_centre_ways import DataCentreWays
from geraniumlead.forwarding.extra_budgets import ExtraBudgets
from geraniumlead.forwarding.late_clock import LateClock
from geraniumlead.forwarding.open_request import Attempt, Leg, OpenRequest
from geraniumlead.forwarding.results import (
    AttemptResult,
    Completed,
    NotExecuted,
    NotReached,
    PossiblyExecuted,
)
from geraniumlead.forwarding.upstream_chooser import UpstreamChooser
from geraniumlead.settings.forwarding_settings import ForwardingSettings


class AttemptBook:
    """Tie every attempt that is out to its leg, and learn from what becomes of it."""

    __slots__ = (
        "_actions",
        "_attempts",
        "_next_id",
        "budgets",
        "chooser",
        "clock",
        "cut_off",
        "ways",
    )

    def __init__(
        self,
        settings: ForwardingSettings,
        fleet: FleetView,
        random: Random,
        actions: list[ForwardingAction],
    ) -> None:
        self._actions = actions
        self._attempts: dict[int, Attempt] = {}
        self._next_id = 0
        self.budgets = ExtraBudgets(settings)
        self.clock = LateClock()
        self.cut_off = CutOffWatch()
        self.ways = DataCentreWays(settings)
        self.chooser = UpstreamChooser(settings, fleet, self.ways, random)

    def choose(self, leg: Leg, now_ms: float, only_good: bool = False) -> UpstreamRecord | None:
        """Return the upstream for the next attempt of a leg; None when there is none."""
        opened = leg.request
        service = opened.configuration.services.get(leg.service)
        if service is None or len(leg.sent_to) >= opened.route.max_upstreams:
            return None
        usual_ms = self.clock.usual_ms(opened.route, now_ms)
        return self.chooser.choose(
            opened.route, service, leg.tried, usual_ms, now_ms, only_good=only_good
        )

    def could_wait(self, leg: Leg, now_ms: float) -> bool:
        """Return whether a leg only lacks a place at an upstream."""
        opened = leg.request
        if leg.service not in opened.configuration.services:
            return False
        return self.chooser.has_untried(opened.route, leg.service, leg.tried, now_ms)

    def send(self, leg: Leg, upstream: UpstreamRecord, now_ms: float) -> None:
        """Send a leg's request to an upstream."""
        opened = leg.request
        self._next_id += 1
        way_ms = self.ways.way_ms(upstream.data_centre)
        second_way_ms = self.chooser.second_way_ms(leg.service, upstream, way_ms)
        attempt = Attempt(self._next_id, leg, upstream, now_ms, way_ms, second_way_ms)
        self._attempts[attempt.attempt_id] = attempt
        leg.open_attempts[attempt.attempt_id] = attempt
        leg.tried.add(upstream.upstream_id)
        leg.sent_to.append(upstream.upstream_id)
        self.chooser.note_sent(upstream, now_ms)
        left_ms = opened.end_ms - now_ms
        self._actions.append(StartAttempt(attempt.attempt_id, upstream, opened.request, left_ms))

    def send_again(self, leg: Leg, upstream: UpstreamRecord, why: str, now_ms: float) -> None:
        """Send a leg's request once more, at the cost of the service's budget."""
        opened = leg.request
        self.budgets.note_extra(leg.service, now_ms)
        opened.extra += 1
        opened.note(leg, upstream.upstream_id, f"again: {why}", now_ms)
        self.send(leg, upstream, now_ms)

    def take(self, attempt_id: int, result: AttemptResult, now_ms: float) -> Attempt | None:
        """Take an attempt out that ended; None when nobody waits for it."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        del attempt.leg.open_attempts[attempt_id]
        self._learn(attempt, result, now_ms)
        return attempt

    def cancel(self, leg: Leg, now_ms: float) -> None:
        """Cancel what is out for a leg."""
        for attempt in leg.open_attempts.values():
            del self._attempts[attempt.attempt_id]
            self._actions.append(CancelAttempt(attempt.attempt_id))
            estimate = self.chooser.estimate_of(attempt.upstream.upstream_id)
            estimate.in_flight -= 1
            elapsed_ms = now_ms - attempt.sent_ms - attempt.way_ms
            route = leg.request.route
            usual_ms = self.clock.usual_ms(route, now_ms)
            estimate.note_at_least(elapsed_ms / usual_ms, now_ms)
            if attempt.is_overdue and leg.answer is not None:
                # Without those that lost to a second attempt, the quantile would sink from
                # window to window, and ever more attempts would count as late.
                self.clock.record(route, elapsed_ms, now_ms)
        leg.open_attempts.clear()

    def cancel_all(self, opened: OpenRequest, now_ms: float) -> None:
        """Cancel what is out for a request."""
        for leg in opened.legs:
            self.cancel(leg, now_ms)

    def note_overdue(self, attempt: Attempt, now_ms: float) -> None:
        """Pass over an upstream while a call of it is overdue."""
        upstream = attempt.upstream
        attempt.is_overdue = True
        self.chooser.estimate_of(upstream.upstream_id).note_overdue(now_ms)

    def _learn(self, attempt: Attempt, result: AttemptResult, now_ms: float) -> None:
        estimate = self.chooser.estimate_of(attempt.upstream.upstream_id)
        estimate.in_flight -= 1
        route = attempt.leg.request.route
        upstream = attempt.upstream
        match result:
            case NotReached(is_timeout=True):
                self.cut_off.note_unreached(upstream.upstream_id, now_ms)
            case _:
                self.cut_off.note_answer(now_ms)
        match result:
            case Completed(is_success=True):
                latency_ms = now_ms - attempt.sent_ms
                self.ways.note(upstream.data_centre, latency_ms, now_ms)
                work_ms = max(0.0, latency_ms - attempt.way_ms)
                usual_ms = self.clock.usual_ms(route, now_ms)
                estimate.note_latency(work_ms / usual_ms, now_ms)
                self.clock.record(route, work_ms, now_ms)
            case NotExecuted(is_other_upstream=True):
                estimate.note_gone(now_ms)
            case NotReached():
                estimate.note_refused(now_ms)
            case Completed() | NotExecuted() | PossiblyExecuted():
                estimate.note_failure(now_ms)
