from random import Random

from geraniumlead.crashes import UnansweredAttempts, hash_process
from geraniumlead.forwarding.actions import CancelAttempt, ForwardingAction, StartAttempt
from geraniumlead.forwarding.extra_attempt_budgets import ExtraAttemptBudgets
from geraniumlead.forwarding.extra_attempt_cause import ExtraAttemptCause
from geraniumlead.forwarding.isolation_detector import IsolationDetector
from geraniumlead.forwarding.lateness_estimator import LatenessEstimator
from geraniumlead.forwarding.open_request import Attempt, OpenRequest, Subrequest
from geraniumlead.forwarding.relative_rtts import RelativeRtts
from geraniumlead.forwarding.results import (
    AttemptResult,
    Completed,
    NotExecuted,
    NotReached,
    NotSent,
    PossiblyExecuted,
)
from geraniumlead.forwarding.upstream_chooser import UpstreamChooser
from geraniumlead.forwarding.upstream_share import (
    AllowedUpstreams,
    NoUpstream,
    OnlyUpstream,
    find_allowed,
)
from geraniumlead.published_upstreams import UpstreamRecord, UpstreamView
from geraniumlead.settings.forwarding_settings import ForwardingSettings


class AttemptTracker:
    """A tracker of the open attempts, which updates the latency and health estimates.

    Each attempt is sent here, and its result or its cancellation updates the estimates of its
    upstream, route and data centre.
    """

    __slots__ = (
        "_actions",
        "_attempts",
        "_next_id",
        "budgets",
        "chooser",
        "isolation",
        "lateness",
        "relative_rtts",
        "unanswered",
    )

    def __init__(
        self,
        settings: ForwardingSettings,
        upstream_view: UpstreamView,
        random: Random,
        actions: list[ForwardingAction],
        started_ms: float,
    ) -> None:
        self._actions = actions
        self._attempts: dict[int, Attempt] = {}
        self._next_id = 0
        self.unanswered = UnansweredAttempts()
        self.budgets = ExtraAttemptBudgets(settings, started_ms)
        self.lateness = LatenessEstimator()
        self.isolation = IsolationDetector()
        self.relative_rtts = RelativeRtts(settings)
        self.chooser = UpstreamChooser(
            settings, upstream_view, self.relative_rtts, random, started_ms
        )

    def choose(
        self, subrequest: Subrequest, now_ms: float, skip_avoided: bool = False
    ) -> UpstreamRecord | None:
        """Return the upstream for the next attempt of a subrequest, or None."""
        open_request = subrequest.request
        service = open_request.configuration.services.get(subrequest.service)
        allowed = _find_allowed(subrequest)
        if service is None or isinstance(allowed, NoUpstream):
            return None
        median_latency_ms = self.lateness.median_latency_ms(open_request.route, now_ms)
        return self.chooser.choose(
            open_request.route,
            service,
            subrequest.tried,
            median_latency_ms,
            now_ms,
            skip_avoided=skip_avoided,
            only_id=_only_id_of(allowed),
        )

    def choose_in_time(
        self, subrequest: Subrequest, now_ms: float, skip_avoided: bool = False
    ) -> UpstreamRecord | None:
        """Return the upstream for the next attempt, or None if none can answer before the end."""
        upstream = self.choose(subrequest, now_ms, skip_avoided)
        if upstream is None or not self.is_in_time(subrequest.request, upstream, now_ms):
            return None
        return upstream

    def is_in_time(
        self, open_request: OpenRequest, upstream: UpstreamRecord, now_ms: float
    ) -> bool:
        """Return whether an upstream may answer before the end of a request."""
        rtt_ms = self.relative_rtts.relative_rtt_ms(upstream.data_centre)
        return rtt_ms <= self.max_relative_rtt_ms(open_request, now_ms)

    def max_relative_rtt_ms(self, open_request: OpenRequest, now_ms: float) -> float:
        """Return up to which relative RTT an upstream may answer before the end of a request.

        Failure: a caller retries with a few milliseconds left. A whole index is queried, every
        upstream works on it, and no answer can reach the caller.
        """
        fastest_ms = self.lateness.fastest_latency_ms(open_request.route, now_ms)
        return open_request.deadline.left_ms(now_ms) - fastest_ms

    def could_wait(self, subrequest: Subrequest, now_ms: float) -> bool:
        """Return whether a subrequest only lacks a free call slot at an upstream."""
        open_request = subrequest.request
        allowed = _find_allowed(subrequest)
        if subrequest.service not in open_request.configuration.services:
            return False
        if isinstance(allowed, NoUpstream):
            return False
        return self.chooser.has_untried(
            open_request.route,
            subrequest.service,
            subrequest.tried,
            now_ms,
            only_id=_only_id_of(allowed),
        )

    def send(self, subrequest: Subrequest, upstream: UpstreamRecord, now_ms: float) -> None:
        """Send a subrequest to an upstream."""
        open_request = subrequest.request
        self._next_id += 1
        relative_rtt_ms = self.relative_rtts.relative_rtt_ms(upstream.data_centre)
        second_relative_rtt_ms = self.chooser.second_relative_rtt_ms(
            subrequest.service, upstream, relative_rtt_ms
        )
        attempt = Attempt(
            self._next_id, subrequest, upstream, now_ms, relative_rtt_ms, second_relative_rtt_ms
        )
        self._attempts[attempt.attempt_id] = attempt
        subrequest.open_attempts[attempt.attempt_id] = attempt
        subrequest.tried.add(upstream.upstream_id)
        subrequest.sent_to.append(upstream.upstream_id)
        self.chooser.record_sent(upstream, now_ms)
        self._actions.append(
            StartAttempt(attempt.attempt_id, upstream, open_request.request, open_request.deadline)
        )

    def resend(
        self,
        subrequest: Subrequest,
        upstream: UpstreamRecord,
        cause: ExtraAttemptCause,
        reason: str,
        now_ms: float,
    ) -> None:
        """Send a subrequest again and charge the service's budget of extra attempts."""
        open_request = subrequest.request
        self.budgets.record_extra(subrequest.service, cause, now_ms)
        open_request.extra_attempts += 1
        open_request.record_step(subrequest, upstream.upstream_id, f"again: {reason}", now_ms)
        self.send(subrequest, upstream, now_ms)

    def finish(self, attempt_id: int, result: AttemptResult, now_ms: float) -> Attempt | None:
        """Remove an attempt that ended and return it; None if it was cancelled before."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        del attempt.subrequest.open_attempts[attempt_id]
        self._update_estimates(attempt, result, now_ms)
        return attempt

    def cancel(self, subrequest: Subrequest, now_ms: float) -> None:
        """Cancel the open attempts of a subrequest."""
        for attempt in subrequest.open_attempts.values():
            del self._attempts[attempt.attempt_id]
            self._actions.append(CancelAttempt(attempt.attempt_id))
            estimate = self.chooser.estimate_of(attempt.upstream.upstream_id)
            estimate.in_flight -= 1
            elapsed_ms = now_ms - attempt.sent_ms - attempt.relative_rtt_ms
            self._record_unanswered(attempt, now_ms)
            route = subrequest.request.route
            median_latency_ms = self.lateness.median_latency_ms(route, now_ms)
            estimate.record_lower_bound(elapsed_ms / median_latency_ms, now_ms)
            if attempt.is_overdue and subrequest.answer is not None:
                # If attempts that lost to a second one were not recorded, the quantile would
                # fall with each window, and more and more attempts would count as late.
                self.lateness.record(route, elapsed_ms, now_ms)
        subrequest.open_attempts.clear()

    def open_at(self, process: int) -> list[Attempt]:
        """Return the open attempts at one process of an upstream."""
        return [
            attempt
            for attempt in self._attempts.values()
            if process_of(attempt.upstream) == process
        ]

    def _record_unanswered(self, attempt: Attempt, now_ms: float) -> None:
        """Keep an attempt of a request without any answer, in case its upstream has ended."""
        open_request = attempt.subrequest.request
        if not open_request.answered:
            fingerprint = open_request.request.fingerprint
            process = process_of(attempt.upstream)
            self.unanswered.add(process, fingerprint, attempt.sent_ms, now_ms)

    def cancel_all(self, open_request: OpenRequest, now_ms: float) -> None:
        """Cancel the open attempts of a request."""
        for subrequest in open_request.subrequests:
            self.cancel(subrequest, now_ms)

    def record_overdue(self, attempt: Attempt, now_ms: float) -> None:
        """Mark an attempt as overdue, so that its upstream is avoided for a while."""
        upstream = attempt.upstream
        attempt.is_overdue = True
        self.chooser.estimate_of(upstream.upstream_id).record_overdue(now_ms)

    def _update_estimates(self, attempt: Attempt, result: AttemptResult, now_ms: float) -> None:
        estimate = self.chooser.estimate_of(attempt.upstream.upstream_id)
        estimate.in_flight -= 1
        if isinstance(result, NotSent):
            # Nothing is learned about an upstream that got nothing.
            return
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
                median_latency_ms = self.lateness.median_latency_ms(route, now_ms)
                estimate.record_latency(work_ms / median_latency_ms, now_ms)
                self.lateness.record(route, work_ms, now_ms)
            case NotExecuted(is_other_upstream=True):
                estimate.record_address_reused(now_ms)
            case NotReached():
                estimate.record_refused(now_ms)
            case Completed() | NotExecuted() | PossiblyExecuted():
                estimate.record_failure(now_ms)


def _find_allowed(subrequest: Subrequest) -> AllowedUpstreams:
    """Return which upstreams the next attempt of a subrequest may go to."""
    max_upstreams = subrequest.request.route.max_upstreams
    return find_allowed(subrequest.share, subrequest.sent_to, max_upstreams)


def _only_id_of(allowed: AllowedUpstreams) -> str | None:
    match allowed:
        case OnlyUpstream(upstream_id=upstream_id):
            return upstream_id
    return None


def process_of(upstream: UpstreamRecord) -> int:
    """Return the number of an upstream's present process."""
    return hash_process(upstream.upstream_id, upstream.started_ms)
