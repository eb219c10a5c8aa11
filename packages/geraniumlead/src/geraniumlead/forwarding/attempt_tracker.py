"""Send attempts, remember which are out, and learn from their ends."""

from random import Random

from geraniumlead.fleet import FleetView, UpstreamRecord
from geraniumlead.forwarding.actions import CancelAttempt, ForwardingAction, StartAttempt
from geraniumlead.forwarding.extra_attempt_budgets import ExtraAttemptBudgets
from geraniumlead.forwarding.isolation_detector import IsolationDetector
from geraniumlead.forwarding.late_clock import LateClock
from geraniumlead.forwarding.open_request import Attempt, OpenRequest, Subrequest
from geraniumlead.forwarding.relative_rtts import RelativeRtts
from geraniumlead.forwarding.results import (
    AttemptResult,
    Completed,
    NotExecuted,
    NotReached,
    PossiblyExecuted,
)
from geraniumlead.forwarding.upstream_chooser import UpstreamChooser
from geraniumlead.settings.forwarding_settings import ForwardingSettings


class AttemptTracker:
    """Tie every attempt that is out to its leg, and learn from what becomes of it."""

    __slots__ = (
        "_actions",
        "_attempts",
        "_next_id",
        "budgets",
        "chooser",
        "clock",
        "isolation",
        "relative_rtts",
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
        self.budgets = ExtraAttemptBudgets(settings)
        self.clock = LateClock()
        self.isolation = IsolationDetector()
        self.relative_rtts = RelativeRtts(settings)
        self.chooser = UpstreamChooser(settings, fleet, self.relative_rtts, random)

    def choose(
        self, leg: Subrequest, now_ms: float, only_good: bool = False
    ) -> UpstreamRecord | None:
        """Return the upstream for the next attempt of a leg; None when there is none."""
        opened = leg.request
        service = opened.configuration.services.get(leg.service)
        if service is None or len(leg.sent_to) >= opened.route.max_upstreams:
            return None
        usual_ms = self.clock.median_latency_ms(opened.route, now_ms)
        return self.chooser.choose(
            opened.route, service, leg.tried, usual_ms, now_ms, skip_avoided=only_good
        )

    def could_wait(self, leg: Subrequest, now_ms: float) -> bool:
        """Return whether a leg only lacks a place at an upstream."""
        opened = leg.request
        if leg.service not in opened.configuration.services:
            return False
        return self.chooser.has_untried(opened.route, leg.service, leg.tried, now_ms)

    def send(self, leg: Subrequest, upstream: UpstreamRecord, now_ms: float) -> None:
        """Send a leg's request to an upstream."""
        opened = leg.request
        self._next_id += 1
        way_ms = self.relative_rtts.relative_rtt_ms(upstream.data_centre)
        second_way_ms = self.chooser.second_relative_rtt_ms(leg.service, upstream, way_ms)
        attempt = Attempt(self._next_id, leg, upstream, now_ms, way_ms, second_way_ms)
        self._attempts[attempt.attempt_id] = attempt
        leg.open_attempts[attempt.attempt_id] = attempt
        leg.tried.add(upstream.upstream_id)
        leg.sent_to.append(upstream.upstream_id)
        self.chooser.record_sent(upstream, now_ms)
        left_ms = opened.end_ms - now_ms
        self._actions.append(StartAttempt(attempt.attempt_id, upstream, opened.request, left_ms))

    def send_again(
        self, leg: Subrequest, upstream: UpstreamRecord, why: str, now_ms: float
    ) -> None:
        """Send a leg's request once more, at the cost of the service's budget."""
        opened = leg.request
        self.budgets.record_extra(leg.service, now_ms)
        opened.extra_attempts += 1
        opened.note(leg, upstream.upstream_id, f"again: {why}", now_ms)
        self.send(leg, upstream, now_ms)

    def take(self, attempt_id: int, result: AttemptResult, now_ms: float) -> Attempt | None:
        """Take an attempt out that ended; None when nobody waits for it."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        del attempt.subrequest.open_attempts[attempt_id]
        self._learn(attempt, result, now_ms)
        return attempt

    def cancel(self, leg: Subrequest, now_ms: float) -> None:
        """Cancel what is out for a leg."""
        for attempt in leg.open_attempts.values():
            del self._attempts[attempt.attempt_id]
            self._actions.append(CancelAttempt(attempt.attempt_id))
            estimate = self.chooser.estimate_of(attempt.upstream.upstream_id)
            estimate.in_flight -= 1
            elapsed_ms = now_ms - attempt.sent_ms - attempt.relative_rtt_ms
            route = leg.request.route
            usual_ms = self.clock.median_latency_ms(route, now_ms)
            estimate.record_lower_bound(elapsed_ms / usual_ms, now_ms)
            if attempt.is_overdue and leg.answer is not None:
                # Without those that lost to a second attempt, the quantile would sink from
                # window to window, and ever more attempts would count as late.
                self.clock.record(route, elapsed_ms, now_ms)
        leg.open_attempts.clear()

    def cancel_all(self, opened: OpenRequest, now_ms: float) -> None:
        """Cancel what is out for a request."""
        for leg in opened.subrequests:
            self.cancel(leg, now_ms)

    def note_overdue(self, attempt: Attempt, now_ms: float) -> None:
        """Pass over an upstream while a call of it is overdue."""
        upstream = attempt.upstream
        attempt.is_overdue = True
        self.chooser.estimate_of(upstream.upstream_id).record_overdue(now_ms)

    def _learn(self, attempt: Attempt, result: AttemptResult, now_ms: float) -> None:
        estimate = self.chooser.estimate_of(attempt.upstream.upstream_id)
        estimate.in_flight -= 1
        route = attempt.subrequest.request.route
        upstream = attempt.upstream
        match result:
            case NotReached(is_timeout=True):
                self.isolation.record_unreachable(upstream.upstream_id, now_ms)
            case _:
                self.isolation.record_answer(now_ms)
        match result:
            case Completed(is_success=True):
                latency_ms = now_ms - attempt.sent_ms
                self.relative_rtts.record_latency(upstream.data_centre, latency_ms, now_ms)
                work_ms = max(0.0, latency_ms - attempt.relative_rtt_ms)
                usual_ms = self.clock.median_latency_ms(route, now_ms)
                estimate.record_latency(work_ms / usual_ms, now_ms)
                self.clock.record(route, work_ms, now_ms)
            case NotExecuted(is_other_upstream=True):
                estimate.record_address_reused(now_ms)
            case NotReached():
                estimate.record_refused(now_ms)
            case Completed() | NotExecuted() | PossiblyExecuted():
                estimate.record_failure(now_ms)
