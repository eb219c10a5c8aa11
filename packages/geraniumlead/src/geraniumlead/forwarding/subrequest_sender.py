from collections.abc import Sequence

from geraniumlead.forwarding.attempt_tracker import AttemptTracker
from geraniumlead.forwarding.crash_guard import CrashGuard
from geraniumlead.forwarding.crash_refusal import CRASHES_UPSTREAMS
from geraniumlead.forwarding.extra_attempt_cause import ExtraAttemptCause
from geraniumlead.forwarding.merge import shorten_answer
from geraniumlead.forwarding.open_request import Attempt, OpenRequest, Subrequest
from geraniumlead.forwarding.results import (
    AttemptResult,
    Completed,
    NotExecuted,
    NotReached,
    NotSent,
    PossiblyExecuted,
)
from geraniumlead.forwarding.waiting_subrequests import WaitingSubrequests
from geraniumlead.published_upstreams import UpstreamRecord
from geraniumlead.routes import FanOut

NEVER_MS = float("inf")

NO_UPSTREAM = "no_upstream"
TOO_LATE = "too_late"
"""Reasons for which a subrequest fails before it is sent: no upstream may be used, or none can
answer before the end of the request."""

HELD_BACK = "held back"
"""Reason for which a subrequest fails that waited in vain for the answer of another one."""

STRAGGLER_ANSWERED_SHARE = 0.5
"""Share of a query's subrequests that have to be answered before one of the others counts as a
straggler, while the latencies of the route are not known."""


class SubrequestSender:
    """Decides whether, when and where subrequests are sent, retried or hedged.

    A subrequest that may have been executed is sent again only if its route is idempotent. Each
    extra attempt is charged to the budget of the service, unless the previous attempt did not
    reach an upstream.
    """

    __slots__ = ("_guard", "_tracker", "_waiting")

    def __init__(self, tracker: AttemptTracker, guard: CrashGuard) -> None:
        self._tracker = tracker
        self._guard = guard
        self._waiting = WaitingSubrequests()

    def choose_upstreams(
        self, open_request: OpenRequest, now_ms: float
    ) -> list[tuple[Subrequest, UpstreamRecord]]:
        """Choose upstreams; a subrequest waits if only a call slot is lacking, else it fails.

        One whose upstream can't answer before the end of the request fails, too. Of a query that
        may crash upstreams only one subrequest is sent.
        """
        if open_request.is_fan_out and self._guard.may_crash_more(open_request):
            return self._choose_canary(open_request, now_ms)
        chosen: list[tuple[Subrequest, UpstreamRecord]] = []
        relative_rtts = self._tracker.relative_rtts
        max_relative_rtt_ms = self._tracker.max_relative_rtt_ms(open_request, now_ms)
        for subrequest in open_request.subrequests:
            if self._guard.is_part_refused(subrequest, now_ms):
                open_request.settle_failed(subrequest, CRASHES_UPSTREAMS, now_ms)
                continue
            upstream = None
            if not self._waiting.has(subrequest.service):
                upstream = self._tracker.choose(subrequest, now_ms)
            if upstream is not None:
                if relative_rtts.relative_rtt_ms(upstream.data_centre) <= max_relative_rtt_ms:
                    chosen.append((subrequest, upstream))
                else:
                    open_request.settle_failed(subrequest, TOO_LATE, now_ms)
            elif not (
                self._tracker.could_wait(subrequest, now_ms) and self._waiting.add(subrequest)
            ):
                open_request.settle_failed(subrequest, NO_UPSTREAM, now_ms)
        return chosen

    def _choose_canary(
        self, open_request: OpenRequest, now_ms: float
    ) -> list[tuple[Subrequest, UpstreamRecord]]:
        """Choose the upstream of one subrequest, and hold the others until it is answered.

        Failure: the next try of a query that crashed a replica of each shard crashed the other
        replica of each. All instances begin at the same shard, so that the others stay available.
        """
        subrequests = open_request.subrequests
        first = open_request.request.fingerprint % len(subrequests)
        for canary in subrequests[first:] + subrequests[:first]:
            upstream = self._tracker.choose_in_time(canary, now_ms)
            if upstream is not None:
                for subrequest in subrequests:
                    if subrequest is not canary:
                        open_request.hold(subrequest)
                return [(canary, upstream)]
        for subrequest in subrequests:
            open_request.settle_failed(subrequest, NO_UPSTREAM, now_ms)
        return []

    def resolve_held(self, open_request: OpenRequest, now_ms: float) -> None:
        """Send the held subrequests of a query once any was answered; fail them if none can be."""
        if not open_request.held:
            return
        if open_request.answered:
            self.send_unanswered(open_request, open_request.pop_held(), HELD_BACK, now_ms)
        elif not open_request.is_awaiting_answers:
            for subrequest in open_request.pop_held():
                open_request.settle_failed(subrequest, HELD_BACK, now_ms)

    def record_first(self, open_request: OpenRequest, now_ms: float) -> None:
        """Count the first attempts of the subrequests that this instance sends itself.

        Failure: a delegated subrequest was counted by this instance and by the peer. It increased
        the budgets of both, and together they exceeded the bound of the service.
        """
        for subrequest in open_request.subrequests:
            if not subrequest.is_delegated and not subrequest.is_held:
                self._tracker.budgets.record_first(subrequest.service, now_ms)

    def send_waiting(self, service: str, now_ms: float) -> list[Subrequest]:
        """Send waiting subrequests while a service has free call slots; return those sent."""
        sent: list[Subrequest] = []
        while (subrequest := self._waiting.pop(service, now_ms)) is not None:
            upstream = self._tracker.choose(subrequest, now_ms)
            if upstream is None:
                self._waiting.add(subrequest)
                break
            if self._guard.may_crash_more(subrequest.request):
                subrequest.request.settle_failed(subrequest, CRASHES_UPSTREAMS, now_ms)
                continue
            if not self._tracker.is_in_time(subrequest.request, upstream, now_ms):
                subrequest.request.settle_failed(subrequest, TOO_LATE, now_ms)
                continue
            subrequest.request.record_step(
                subrequest, upstream.upstream_id, "waited for a place", now_ms
            )
            self._tracker.send(subrequest, upstream, now_ms)
            sent.append(subrequest)
        return sent

    def send_unanswered(
        self,
        open_request: OpenRequest,
        subrequests: list[Subrequest],
        reason: str,
        now_ms: float,
        is_counted: bool = False,
    ) -> None:
        """Send subrequests from this instance that a peer did not answer, or that were held.

        ``is_counted`` is set if the peer has counted their first attempts, even if it sent none.

        The attempts of the peer count towards the route's maximum number of upstreams: with a
        separate count here one request would reach twice as many.
        """
        if self._guard.may_crash_more(open_request):
            for subrequest in subrequests:
                open_request.hold(subrequest)
            return
        for subrequest in subrequests:
            is_too_late = open_request.has_enough and now_ms >= open_request.goal_ms
            upstream = None if is_too_late else self._tracker.choose_in_time(subrequest, now_ms)
            if upstream is None:
                open_request.settle_failed(subrequest, f"{reason}, no upstream", now_ms)
            elif not subrequest.sent_to:
                if not is_counted:
                    self._tracker.budgets.record_first(subrequest.service, now_ms)
                self._tracker.send(subrequest, upstream, now_ms)
            elif self._tracker.budgets.may_retry(subrequest.service, now_ms):
                # The peer may have sent it already, and only its acknowledgement is late or lost.
                self._tracker.resend(
                    subrequest, upstream, ExtraAttemptCause.PEER_FAILED, reason, now_ms
                )
            else:
                open_request.settle_failed(subrequest, f"{reason}, no budget", now_ms)

    def hedge_delegated(
        self, subrequests: list[Subrequest], is_overdue: bool, now_ms: float
    ) -> None:
        """Hedge subrequests that a peer may still answer.

        Until the peer's reply is overdue, only the share of the budget for late attempts is used.
        If all of it were spent on one slow peer, subrequests that fail in the next seconds could
        not be retried.
        """
        if subrequests and self._guard.may_crash_more(subrequests[0].request):
            return
        budgets = self._tracker.budgets
        may_send = budgets.may_retry if is_overdue else budgets.may_hedge
        for subrequest in subrequests:
            if subrequest.open_attempts or not may_send(subrequest.service, now_ms):
                continue
            upstream = self._tracker.choose_in_time(subrequest, now_ms, skip_avoided=not is_overdue)
            if upstream is not None:
                self._tracker.resend(
                    subrequest, upstream, ExtraAttemptCause.PEER_LATE, "peer is late", now_ms
                )

    def cancel_subrequest(self, subrequest: Subrequest, now_ms: float) -> None:
        """Cancel the attempts of a subrequest that a peer has answered."""
        self._tracker.cancel(subrequest, now_ms)

    def record_peer_answer(self, subrequest: Subrequest, now_ms: float) -> None:
        """Record that an upstream has answered a subrequest at a peer."""
        self._guard.record_answered(subrequest, now_ms)

    def record_peer_attempts(
        self, subrequest: Subrequest, upstream_ids: Sequence[str | None]
    ) -> None:
        """Count the attempts that a peer has sent for a subrequest."""
        subrequest.sent_to += upstream_ids
        subrequest.tried.update(name for name in upstream_ids if name is not None)

    def handle_result(self, attempt: Attempt, result: AttemptResult, now_ms: float) -> None:
        """Settle a subrequest with the result of an attempt, or retry it."""
        subrequest = attempt.subrequest
        open_request = subrequest.request
        upstream_id = attempt.upstream.upstream_id
        match result:
            case Completed() if result.is_success or not (
                open_request.is_fan_out or open_request.route.is_idempotent
            ):
                subrequest.may_have_run = True
                self._guard.record_answered(subrequest, now_ms)
                if len(subrequest.tried) > 1 or now_ms > open_request.goal_ms:
                    what = f"answered after {now_ms - attempt.sent_ms:.0f} ms"
                    open_request.record_step(subrequest, upstream_id, what, now_ms)
                match open_request.route.target:
                    case FanOut(record_count=record_count):
                        result = shorten_answer(result, record_count)
                open_request.settle_answered(subrequest, result)
                self._tracker.cancel(subrequest, now_ms)
                return
            case Completed(status=status):
                subrequest.may_have_run = True
                subrequest.failed_answer = result
                reason = f"status {status}"
            case NotExecuted(status=status):
                reason = f"not executed {status}"
            case NotReached(detail=detail):
                # Nothing arrived there, so neither the upstream limit nor the budget counts it.
                subrequest.sent_to.remove(upstream_id)
                reason = f"not reached: {detail}"
            case NotSent():
                subrequest.sent_to.remove(upstream_id)
                reason = TOO_LATE
            case PossiblyExecuted(detail=detail, is_connection_lost=is_lost):
                subrequest.may_have_run = True
                if is_lost:
                    self._guard.record_lost(attempt, detail, now_ms)
                reason = f"lost: {detail}"
        open_request.record_step(subrequest, upstream_id, reason, now_ms)
        self._retry_or_fail(subrequest, result, reason, now_ms)

    def hedge_late(self, open_request: OpenRequest, now_ms: float) -> None:
        """Hedge the subrequests whose only attempt is late."""
        if open_request.is_hedged or self._guard.may_crash_more(open_request):
            return
        for subrequest in open_request.subrequests:
            if subrequest.is_settled or len(subrequest.open_attempts) != 1:
                continue
            (attempt,) = subrequest.open_attempts.values()
            if now_ms < attempt.sent_ms + self._late_ms(attempt, now_ms):
                continue
            if not attempt.is_overdue:
                self._tracker.record_overdue(attempt, now_ms)
            if not self._tracker.budgets.may_hedge(subrequest.service, now_ms):
                continue
            upstream = self._tracker.choose_in_time(subrequest, now_ms, skip_avoided=True)
            if upstream is not None:
                self._tracker.resend(subrequest, upstream, ExtraAttemptCause.LATE, "late", now_ms)

    def next_late_ms(self, open_request: OpenRequest, now_ms: float) -> float:
        """Return when the next attempt of a request becomes late."""
        return min(
            (self.late_at_ms(subrequest, now_ms) for subrequest in open_request.subrequests),
            default=NEVER_MS,
        )

    def late_at_ms(self, subrequest: Subrequest, now_ms: float) -> float:
        """Return when the only attempt of a subrequest becomes late; never if it already is."""
        if subrequest.is_settled or len(subrequest.open_attempts) != 1:
            return NEVER_MS
        (attempt,) = subrequest.open_attempts.values()
        late_ms = attempt.sent_ms + self._late_ms(attempt, now_ms)
        return late_ms if late_ms > now_ms else NEVER_MS

    def cancel(self, open_request: OpenRequest, now_ms: float) -> list[str]:
        """Cancel all work for a request; return the services at which call slots became free."""
        freed = [
            subrequest.service
            for subrequest in open_request.subrequests
            if subrequest.open_attempts
        ]
        for subrequest in open_request.subrequests:
            self._waiting.remove(subrequest)
        self._tracker.cancel_all(open_request, now_ms)
        return freed

    def _retry_or_fail(
        self, subrequest: Subrequest, result: AttemptResult, reason: str, now_ms: float
    ) -> None:
        """Retry a subrequest after a failed attempt if that is allowed; else mark it as failed."""
        if subrequest.open_attempts or subrequest.is_delegated:
            return
        open_request = subrequest.request
        is_repeatable = open_request.route.is_idempotent or not subrequest.may_have_run
        if self._guard.is_part_suspected(subrequest):
            reason, is_repeatable = f"{reason}, {CRASHES_UPSTREAMS}", False
        elif self._guard.may_crash_more(open_request):
            if open_request.is_awaiting_answers:
                # In a power failure a query loses several upstreams at once, and goes on when
                # another one answers.
                open_request.hold(subrequest)
                return
            if self._guard.is_refused(open_request) or not isinstance(result, NotReached):
                reason, is_repeatable = f"{reason}, {CRASHES_UPSTREAMS}", False
        if is_repeatable and now_ms < open_request.end_ms:
            is_free = isinstance(result, NotReached)
            if open_request.is_hedged and not is_free:
                reason = f"{reason}, asked elsewhere"
            elif is_free or self._tracker.budgets.may_retry(subrequest.service, now_ms):
                upstream = self._tracker.choose_in_time(subrequest, now_ms)
                if upstream is not None:
                    self._retry(subrequest, upstream, reason, is_free, now_ms)
                    return
                reason = f"{reason}, no other upstream"
            else:
                reason = f"{reason}, no budget"
        open_request.settle_failed(subrequest, reason, now_ms)

    def _retry(
        self,
        subrequest: Subrequest,
        upstream: UpstreamRecord,
        reason: str,
        is_free: bool,
        now_ms: float,
    ) -> None:
        if is_free:
            self._tracker.send(subrequest, upstream, now_ms)
        else:
            self._tracker.resend(subrequest, upstream, ExtraAttemptCause.FAILED, reason, now_ms)

    def _is_lateness_common(self, open_request: OpenRequest, now_ms: float) -> bool:
        """Return whether lateness is common to a query's subrequests, so that none is a straggler.

        Failure: the first query of an instance opens a connection to each shard, and all
        subrequests seem late. Sending ninety of them again doubled the load while a fleet started.
        """
        if not open_request.is_fan_out or open_request.answered >= STRAGGLER_ANSWERED_SHARE * len(
            open_request.subrequests
        ):
            return False
        return not self._tracker.lateness.has_latencies(open_request.route, now_ms)

    def _late_ms(self, attempt: Attempt, now_ms: float) -> float:
        has_ample_budget = self._tracker.budgets.has_ample_budget(
            attempt.subrequest.service, now_ms
        )
        has_ample_budget = has_ample_budget and not self._is_lateness_common(
            attempt.subrequest.request, now_ms
        )
        goal_left_ms = attempt.subrequest.request.goal_ms - attempt.sent_ms
        return self._tracker.lateness.late_ms(attempt, goal_left_ms, now_ms, has_ample_budget)
