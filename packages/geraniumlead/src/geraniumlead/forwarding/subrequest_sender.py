"""Send the parts of requests, and send again what failed or is late."""

from collections.abc import Sequence

from geraniumlead.fleet import UpstreamRecord
from geraniumlead.forwarding.attempt_tracker import AttemptTracker
from geraniumlead.forwarding.crash_tracker import CrashTracker
from geraniumlead.forwarding.open_request import Attempt, OpenRequest, Subrequest
from geraniumlead.forwarding.results import (
    AttemptResult,
    Completed,
    NotExecuted,
    NotReached,
    PossiblyExecuted,
)
from geraniumlead.forwarding.waiting_subrequests import WaitingSubrequests

NEVER_MS = float("inf")

COMMON_SHARE = 0.5
"""Share of a query's parts that have to be in before one of the others counts as a straggler,
while the latencies of its route are not known."""


class SubrequestSender:
    """Decide for each part of a request whether, when and where it is sent (again).

    A part that may have run is sent again only if its route allows repeats, and every second
    sending but those that reached nobody costs the budget of the service.
    """

    __slots__ = ("_book", "_crashes", "_waiting")

    def __init__(self, book: AttemptTracker, crashes: CrashTracker) -> None:
        self._book = book
        self._crashes = crashes
        self._waiting = WaitingSubrequests()

    def choose_all(
        self, opened: OpenRequest, now_ms: float
    ) -> list[tuple[Subrequest, UpstreamRecord]]:
        """Choose upstreams; parts without a place wait, those without any upstream fail."""
        chosen: list[tuple[Subrequest, UpstreamRecord]] = []
        for leg in opened.subrequests:
            upstream = None
            if not self._waiting.has(leg.service):
                upstream = self._book.choose(leg, now_ms)
            if upstream is not None:
                chosen.append((leg, upstream))
            elif not (self._book.could_wait(leg, now_ms) and self._waiting.add(leg)):
                opened.settle_failed(leg, "no_upstream", now_ms)
        return chosen

    def record_first(self, opened: OpenRequest, now_ms: float) -> None:
        """Count the parts that are this instance's to send.

        Failure: a part that a peer asks was counted here and there. Both earned second
        sendings by it, and together they exceeded the bound of the service.
        """
        for leg in opened.subrequests:
            if not leg.is_delegated:
                self._book.budgets.record_first(leg.service, now_ms)

    def send_waiting(self, service: str, now_ms: float) -> list[Subrequest]:
        """Use the places that have become free at a service; return the parts that were sent."""
        sent: list[Subrequest] = []
        while (leg := self._waiting.take(service, now_ms)) is not None:
            upstream = self._book.choose(leg, now_ms)
            if upstream is None:
                self._waiting.add(leg)
                break
            leg.request.note(leg, upstream.upstream_id, "waited for a place", now_ms)
            self._book.send(leg, upstream, now_ms)
            sent.append(leg)
        return sent

    def ask_again(
        self, opened: OpenRequest, legs: list[Subrequest], why: str, now_ms: float
    ) -> None:
        """Ask shards from here that a peer did not bring.

        What the peer has sent counts against the route's number of upstreams: counted anew
        here, one request would reach twice as many.
        """
        for leg in legs:
            is_too_late = opened.has_enough and now_ms >= opened.goal_ms
            upstream = None if is_too_late else self._book.choose(leg, now_ms)
            if upstream is None:
                opened.settle_failed(leg, f"{why}, no upstream", now_ms)
            elif not leg.sent_to:
                self._book.budgets.record_first(leg.service, now_ms)
                self._book.send(leg, upstream, now_ms)
            elif self._book.budgets.may_repeat_failed(leg.service, now_ms):
                # The peer may have asked already, and only its word is late or lost.
                self._book.send_again(leg, upstream, why, now_ms)
            else:
                opened.settle_failed(leg, f"{why}, no budget", now_ms)

    def ask_beside(self, legs: list[Subrequest], is_overdue: bool, now_ms: float) -> None:
        """Ask shards as well that a peer may still bring.

        Until the peer's reply is overdue only late parts' share of the budget is used: all of it
        spent on one slow peer, the parts that fail in the next seconds could not be sent again.
        """
        budgets = self._book.budgets
        may_repeat = budgets.may_repeat_failed if is_overdue else budgets.may_repeat_late
        for leg in legs:
            if leg.open_attempts or not may_repeat(leg.service, now_ms):
                continue
            upstream = self._book.choose(leg, now_ms, only_good=not is_overdue)
            if upstream is not None:
                self._book.send_again(leg, upstream, "peer is late", now_ms)

    def cancel_leg(self, leg: Subrequest, now_ms: float) -> None:
        """Stop what is out for a shard that a peer has brought."""
        self._book.cancel(leg, now_ms)

    def note_tried(self, leg: Subrequest, upstream_ids: Sequence[str | None]) -> None:
        """Count what a peer has sent for a shard."""
        leg.sent_to += upstream_ids
        leg.tried.update(name for name in upstream_ids if name is not None)

    def take_result(self, attempt: Attempt, result: AttemptResult, now_ms: float) -> None:
        """Settle a part by the end of an attempt, or send it again."""
        leg = attempt.subrequest
        opened = leg.request
        upstream_id = attempt.upstream.upstream_id
        match result:
            case Completed() if result.is_success or not (
                opened.is_fan_out or opened.route.is_idempotent
            ):
                leg.may_have_run = True
                if self._crashes:
                    self._crashes.record_answered(opened.request.fingerprint)
                if len(leg.tried) > 1 or now_ms > opened.goal_ms:
                    what = f"answered after {now_ms - attempt.sent_ms:.0f} ms"
                    opened.note(leg, upstream_id, what, now_ms)
                opened.settle_answered(leg, result)
                self._book.cancel(leg, now_ms)
                return
            case Completed(status=status):
                leg.may_have_run = True
                leg.failed_answer = result
                why = f"status {status}"
            case NotExecuted(status=status):
                why = f"not executed {status}"
            case NotReached(detail=detail):
                # Nothing arrived there, so neither bound counts it.
                leg.sent_to.remove(upstream_id)
                why = f"not reached: {detail}"
            case PossiblyExecuted(detail=detail, is_connection_lost=is_lost):
                leg.may_have_run = True
                if is_lost and not opened.answered:
                    fingerprint = opened.request.fingerprint
                    self._crashes.record_lost(fingerprint, upstream_id, now_ms)
                why = f"lost: {detail}"
        opened.note(leg, upstream_id, why, now_ms)
        self._follow_failure(leg, result, why, now_ms)

    def repeat_late(self, opened: OpenRequest, now_ms: float) -> None:
        """Send again the parts whose only attempt is late."""
        if opened.is_shared:
            return
        for leg in opened.subrequests:
            if leg.is_settled or len(leg.open_attempts) != 1:
                continue
            (attempt,) = leg.open_attempts.values()
            if now_ms < attempt.sent_ms + self._late_ms(attempt, now_ms):
                continue
            if not attempt.is_overdue:
                self._book.note_overdue(attempt, now_ms)
            if not self._book.budgets.may_repeat_late(leg.service, now_ms):
                continue
            upstream = self._book.choose(leg, now_ms, only_good=True)
            if upstream is not None:
                self._book.send_again(leg, upstream, "late", now_ms)

    def next_late_ms(self, opened: OpenRequest, now_ms: float) -> float:
        """Return when the next attempt of a request is late."""
        return min((self.late_at_ms(leg, now_ms) for leg in opened.subrequests), default=NEVER_MS)

    def late_at_ms(self, leg: Subrequest, now_ms: float) -> float:
        """Return when the only attempt of a leg is late; never if it is late already."""
        if leg.is_settled or len(leg.open_attempts) != 1:
            return NEVER_MS
        (attempt,) = leg.open_attempts.values()
        late_ms = attempt.sent_ms + self._late_ms(attempt, now_ms)
        return late_ms if late_ms > now_ms else NEVER_MS

    def cancel(self, opened: OpenRequest, now_ms: float) -> list[str]:
        """Stop all work for a request; return the services where places became free."""
        freed = [leg.service for leg in opened.subrequests if leg.open_attempts]
        for leg in opened.subrequests:
            self._waiting.drop(leg)
        self._book.cancel_all(opened, now_ms)
        return freed

    def _follow_failure(
        self, leg: Subrequest, result: AttemptResult, why: str, now_ms: float
    ) -> None:
        """Send a failed leg again where that is allowed; else settle it."""
        if leg.open_attempts or leg.is_delegated:
            return
        opened = leg.request
        is_repeatable = opened.route.is_idempotent or not leg.may_have_run
        if not opened.is_fan_out and self._is_crashing(opened, now_ms):
            # A query over all shards may lose several at once to a loss of power, and asks
            # the others; whether it is at fault shows when none has answered.
            is_repeatable = False
        if is_repeatable and now_ms < opened.end_ms:
            is_free = isinstance(result, NotReached)
            if opened.is_shared and not is_free:
                why = f"{why}, asked elsewhere"
            elif is_free or self._book.budgets.may_repeat_failed(leg.service, now_ms):
                upstream = self._book.choose(leg, now_ms)
                if upstream is not None:
                    self._resend(leg, upstream, why, is_free, now_ms)
                    return
                why = f"{why}, no other upstream"
            else:
                why = f"{why}, no budget"
        opened.settle_failed(leg, why, now_ms)

    def _resend(
        self, leg: Subrequest, upstream: UpstreamRecord, why: str, is_free: bool, now_ms: float
    ) -> None:
        if is_free:
            self._book.send(leg, upstream, now_ms)
        else:
            self._book.send_again(leg, upstream, why, now_ms)

    def _is_crashing(self, opened: OpenRequest, now_ms: float) -> bool:
        if not self._crashes:
            return False
        return self._crashes.is_refused(opened.request.fingerprint, now_ms)

    def _is_slow_itself(self, opened: OpenRequest, now_ms: float) -> bool:
        """Return whether the lateness is common to a query's parts, and none is a straggler.

        Failure: the first query of an instance opens a connection to each shard, and all of
        them seem late. Sent again, ninety parts doubled the load while a whole fleet started.
        """
        if not opened.is_fan_out or opened.answered >= COMMON_SHARE * len(opened.subrequests):
            return False
        return not self._book.clock.is_known(opened.route, now_ms)

    def _late_ms(self, attempt: Attempt, now_ms: float) -> float:
        has_plenty = self._book.budgets.has_plenty(attempt.subrequest.service, now_ms)
        has_plenty = has_plenty and not self._is_slow_itself(attempt.subrequest.request, now_ms)
        goal_left_ms = attempt.subrequest.request.goal_ms - attempt.sent_ms
        return self._book.clock.late_ms(attempt, goal_left_ms, now_ms, has_plenty)
