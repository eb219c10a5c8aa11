"""Run requests: send, send again, and end each with one reply."""

from heapq import heappop, heappush
from random import Random

from geraniumlead.fleet import FleetView, UpstreamRecord
from geraniumlead.forwarding.actions import ForwardingAction, LogDecision, PeerReply, SendReply
from geraniumlead.forwarding.attempt_book import AttemptBook
from geraniumlead.forwarding.closing import decide_reply
from geraniumlead.forwarding.delegate_desk import DelegateDesk
from geraniumlead.forwarding.delegations import Delegation, Delegations
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.open_request import Attempt, Leg, OpenRequest
from geraniumlead.forwarding.request_line import describe_request
from geraniumlead.forwarding.results import (
    AttemptResult,
    Completed,
    NotExecuted,
    NotReached,
    PossiblyExecuted,
)
from geraniumlead.forwarding.retry_after import RetryAfter
from geraniumlead.forwarding.waiting_legs import LONGEST_WAIT_GOAL_SHARE, WaitingLegs
from geraniumlead.peering import DelegatedReply, PeerDirectory
from geraniumlead.routes import (
    FanOut,
    OneService,
    PublishedConfiguration,
    Route,
    SplitChooser,
    SplitServices,
)
from geraniumlead.settings.forwarding_settings import ForwardingSettings

REPLY_MARGIN_MS = 7.0
"""Left of the goal for this instance's own work: the loop is seldom busy for longer."""

END_MARGIN_MS = 20.0
"""Left of the caller's wait, so that the answer arrives before it gives up."""

NEVER_MS = float("inf")
OK = 200
DECLINED = "declined"


class RequestRunner:
    """Hold the open requests of this instance.

    This is the one layer that sends again, so that tries never multiply. A request that may
    have run is never said not to have run, and one that must not be repeated is sent again
    only after an answer that it was not executed.
    """

    __slots__ = (
        "_actions",
        "_book",
        "_open",
        "_random",
        "_retry_after",
        "_splits",
        "_waiting",
        "_wakes",
        "delegations",
        "desk",
    )

    def __init__(
        self,
        settings: ForwardingSettings,
        fleet: FleetView,
        random: Random,
        retry_after: RetryAfter,
        actions: list[ForwardingAction],
        directory: PeerDirectory,
    ) -> None:
        self._random = random
        self.delegations = Delegations(settings, fleet, directory, random)
        self.desk = DelegateDesk()
        self._retry_after = retry_after
        self._actions = actions
        self._book = AttemptBook(settings, fleet, random, actions)
        self._open: dict[int, OpenRequest] = {}
        self._wakes: list[tuple[float, int]] = []
        self._splits: dict[str, SplitChooser] = {}
        self._waiting = WaitingLegs()

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._open)

    @property
    def chooser(self):
        """Return what chooses upstreams."""
        return self._book.chooser

    def set_instances(self, count: int) -> None:
        """Take over how many instances share the limits of the fleet."""
        self._book.chooser.set_instances(count)
        self._book.budgets.set_instances(count)

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Take over changed settings."""
        self._book.budgets.apply_settings(settings)
        self._book.chooser.apply_settings(settings)

    def start(
        self,
        request: ForwardedRequest,
        route: Route,
        configuration: PublishedConfiguration,
        now_ms: float,
    ) -> None:
        """Send a request to one upstream of each of its services."""
        goal_ms, end_ms = self.times_of(request, route)
        opened = OpenRequest(request, route, configuration, goal_ms, end_ms)
        opened.legs = [Leg(opened, service) for service in self._services_of(request, route)]
        self._open[request.key] = opened
        chosen = self._choose_all(opened, now_ms)
        if opened.is_hopeless:
            # Known before anything is sent, so this refusal is true and early.
            self._finish(opened, "no_upstream", now_ms)
            return
        for leg, upstream in self._delegate(opened, chosen, now_ms):
            self._book.send(leg, upstream, now_ms)
        if not self._finish_if_done(opened, now_ms):
            self._arm(opened, now_ms)

    def times_of(self, request: ForwardedRequest, route: Route) -> tuple[float, float]:
        """Return when the reply should leave, and when all is over."""
        wait_ms = min(request.wait_ms or route.timeout_ms, route.timeout_ms)
        goal_ms = self._book.clock.goal_ms(route, request)
        if request.goal_left_ms is not None:
            # The peer that passed it here has taken its margins from both.
            return goal_ms, request.arrived_ms + wait_ms
        end_ms = request.arrived_ms + max(0.0, wait_ms - END_MARGIN_MS)
        return goal_ms - request.way_ms - REPLY_MARGIN_MS, end_ms

    def take_delegated(self, delegation: Delegation, reply: DelegatedReply, now_ms: float) -> None:
        """Take in what a peer brought for the shards that it was asked to ask."""
        opened = delegation.opened
        if reply.is_declined:
            self.take_back(delegation, DECLINED, now_ms)
            return
        signatures = dict(reply.signatures)
        records = reply.records
        for leg in delegation.legs:
            signature = signatures.get(leg.service)
            if signature is not None:
                # The records are those of all the peer's shards; they are merged once.
                opened.settle_answered(leg, Completed(OK, (), records, signature))
                records = b""
        missing = [leg for leg in delegation.legs if not leg.is_settled]
        self._ask_again(opened, missing, "missing at the peer", now_ms)

    def take_back(self, delegation: Delegation, why: str, now_ms: float) -> None:
        """Ask the shards from here that a peer did not take."""
        self._ask_again(delegation.opened, delegation.legs, why, now_ms)

    def finish_attempt(self, attempt_id: int, result: AttemptResult, now_ms: float) -> None:
        """Take in the end of an attempt; one that nobody waits for is dropped."""
        attempt = self._book.take(attempt_id, result, now_ms)
        if attempt is None:
            return
        leg = attempt.leg
        if not leg.is_settled:
            self._take_result(attempt, result, now_ms)
        self._finish_if_done(leg.request, now_ms)
        self._send_waiting(leg.service, now_ms)

    def drop(self, key: int, now_ms: float) -> None:
        """Forget a request whose caller left, and stop all work for it."""
        opened = self._open.pop(key, None)
        if opened is not None:
            self._cancel_all(opened, now_ms)
            self._log(opened, "caller_left", None, now_ms)

    def wake(self, now_ms: float) -> None:
        """Look after the requests whose time has come."""
        while self._wakes and self._wakes[0][0] <= now_ms:
            due_ms, key = heappop(self._wakes)
            opened = self._open.get(key)
            if opened is not None and opened.check_ms == due_ms:
                opened.check_ms = NEVER_MS
                self._check(opened, now_ms)

    def next_wake_ms(self) -> float:
        """Return the earliest time at which ``wake`` has something to do."""
        return self._wakes[0][0] if self._wakes else NEVER_MS

    def end_all(self, now_ms: float) -> None:
        """Give every open request its last answer."""
        for opened in list(self._open.values()):
            self._finish(opened, "stopping", now_ms)

    def _ask_again(self, opened: OpenRequest, legs: list[Leg], why: str, now_ms: float) -> None:
        """Ask shards from here that a peer did not bring."""
        for leg in legs:
            is_too_late = opened.has_enough and now_ms >= opened.goal_ms
            upstream = None if is_too_late else self._book.choose(leg, now_ms)
            if upstream is None:
                opened.settle_failed(leg, f"{why}, no upstream", now_ms)
            elif why == DECLINED:
                self._book.send(leg, upstream, now_ms)
            elif self._book.budgets.may_repeat_failed(leg.service, now_ms):
                # The peer may have asked already, and only its word is late or lost.
                self._book.send_again(leg, upstream, why, now_ms)
            else:
                opened.settle_failed(leg, f"{why}, no budget", now_ms)
        if not self._finish_if_done(opened, now_ms):
            self._arm(opened, now_ms)

    def _choose_all(self, opened: OpenRequest, now_ms: float) -> list[tuple[Leg, UpstreamRecord]]:
        chosen: list[tuple[Leg, UpstreamRecord]] = []
        for leg in opened.legs:
            self._book.budgets.note_first(leg.service, now_ms)
            upstream = None
            if not self._waiting.has(leg.service):
                upstream = self._book.choose(leg, now_ms)
            if upstream is not None:
                chosen.append((leg, upstream))
            elif not (self._book.could_wait(leg) and self._waiting.add(leg)):
                opened.settle_failed(leg, "no_upstream", now_ms)
        return chosen

    def _send_waiting(self, service: str, now_ms: float) -> None:
        """Use the places that have become free at a service."""
        while (leg := self._waiting.take(service)) is not None:
            upstream = self._book.choose(leg, now_ms)
            if upstream is None:
                self._waiting.add(leg)
                return
            opened = leg.request
            opened.note(leg, upstream.upstream_id, "waited for a place", now_ms)
            self._book.send(leg, upstream, now_ms)
            self._arm(opened, now_ms)

    def _delegate(
        self, opened: OpenRequest, chosen: list[tuple[Leg, UpstreamRecord]], now_ms: float
    ) -> list[tuple[Leg, UpstreamRecord]]:
        """Pass the shards that are only elsewhere to a peer; return the others."""
        if not opened.is_fan_out:
            return chosen
        far = [leg for leg, _ in chosen if not self._book.chooser.has_near(leg.service)]
        services = [leg.service for leg in far]
        peer = self.delegations.find_peer(opened, services, now_ms)
        if peer is None:
            return chosen
        for leg in far:
            leg.may_have_run = True
        self._actions.append(self.delegations.start(opened, far, peer, now_ms))
        return [(leg, upstream) for leg, upstream in chosen if not leg.may_have_run]

    def _services_of(self, request: ForwardedRequest, route: Route) -> tuple[str, ...]:
        if request.is_delegated:
            return request.shards
        match route.target:
            case OneService(service=service):
                return (service,)
            case SplitServices() as target:
                chooser = self._splits.get(route.name)
                if chooser is None:
                    chooser = self._splits[route.name] = SplitChooser(self._random)
                return (chooser.choose(target),)
            case FanOut(shards=shards):
                return shards

    def _take_result(self, attempt: Attempt, result: AttemptResult, now_ms: float) -> None:
        leg = attempt.leg
        opened = leg.request
        upstream_id = attempt.upstream.upstream_id
        match result:
            case Completed() if result.is_success or not (
                opened.is_fan_out or opened.route.is_idempotent
            ):
                leg.may_have_run = True
                if len(leg.tried) > 1:
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
                leg.sent_count -= 1
                why = f"not reached: {detail}"
            case PossiblyExecuted(detail=detail):
                leg.may_have_run = True
                why = f"lost: {detail}"
        opened.note(leg, upstream_id, why, now_ms)
        self._follow_failure(leg, result, why, now_ms)

    def _follow_failure(self, leg: Leg, result: AttemptResult, why: str, now_ms: float) -> None:
        """Send a failed leg again where that is allowed; else settle it."""
        if leg.open_attempts:
            return
        opened = leg.request
        is_repeatable = opened.route.is_idempotent or not leg.may_have_run
        if is_repeatable and now_ms < opened.end_ms:
            is_free = isinstance(result, NotReached)
            if is_free or self._book.budgets.may_repeat_failed(leg.service, now_ms):
                upstream = self._book.choose(leg, now_ms)
                if upstream is not None:
                    self._resend(leg, upstream, why, is_free, now_ms)
                    return
                why = f"{why}, no other upstream"
            else:
                why = f"{why}, no budget"
        opened.settle_failed(leg, why, now_ms)

    def _resend(
        self, leg: Leg, upstream: UpstreamRecord, why: str, is_free: bool, now_ms: float
    ) -> None:
        if is_free:
            self._book.send(leg, upstream, now_ms)
        else:
            self._book.send_again(leg, upstream, why, now_ms)
        self._arm(leg.request, now_ms)

    def _check(self, opened: OpenRequest, now_ms: float) -> None:
        """End a request whose time is over, and repeat what is late."""
        if now_ms >= opened.end_ms:
            self._finish(opened, "timeout", now_ms)
            return
        if self._finish_if_done(opened, now_ms):
            return
        if now_ms >= self._wait_end_ms(opened):
            self._finish(opened, "no_place", now_ms)
            return
        if opened.route.is_idempotent:
            self._repeat_late(opened, now_ms)
        self._arm(opened, now_ms)

    def _repeat_late(self, opened: OpenRequest, now_ms: float) -> None:
        for leg in opened.legs:
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

    def _late_ms(self, attempt: Attempt, now_ms: float) -> float:
        has_plenty = self._book.budgets.has_plenty(attempt.leg.service, now_ms)
        goal_left_ms = attempt.leg.request.goal_ms - attempt.sent_ms
        return self._book.clock.late_ms(attempt, goal_left_ms, now_ms, has_plenty)

    def _wait_end_ms(self, opened: OpenRequest) -> float:
        """Return when a request of which nothing was sent yet is refused."""
        if opened.may_have_run or opened.delegation is not None:
            return NEVER_MS
        if not any(leg.is_waiting for leg in opened.legs):
            return NEVER_MS
        if any(leg.open_attempts for leg in opened.legs):
            return NEVER_MS
        goal_ms = opened.route.latency_goal_ms
        return opened.request.arrived_ms + LONGEST_WAIT_GOAL_SHARE * goal_ms

    def _arm(self, opened: OpenRequest, now_ms: float) -> None:
        """Set the next time at which the request is looked after."""
        due_ms = min(opened.end_ms, self._wait_end_ms(opened))
        if opened.is_fan_out and opened.goal_ms > now_ms:
            due_ms = min(due_ms, opened.goal_ms)
        if opened.route.is_idempotent:
            for leg in opened.legs:
                if leg.is_settled or len(leg.open_attempts) != 1:
                    continue
                (attempt,) = leg.open_attempts.values()
                late_ms = attempt.sent_ms + self._late_ms(attempt, now_ms)
                if late_ms > now_ms:
                    due_ms = min(due_ms, late_ms)
        if due_ms != opened.check_ms:
            opened.check_ms = due_ms
            heappush(self._wakes, (due_ms, opened.request.key))

    def _finish_if_done(self, opened: OpenRequest, now_ms: float) -> bool:
        """End a request that needs no further answer, or can't get enough of them."""
        if opened.request.key not in self._open:
            return True
        is_over_goal = opened.is_fan_out and now_ms >= opened.goal_ms
        if opened.settled == len(opened.legs) or (is_over_goal and opened.has_enough):
            self._finish(opened, "answered" if opened.has_enough else opened.first_failure, now_ms)
            return True
        if opened.is_hopeless:
            self._finish(opened, opened.first_failure, now_ms)
            return True
        return False

    def _finish(self, opened: OpenRequest, reason: str, now_ms: float) -> None:
        del self._open[opened.request.key]
        # What is still out at the end may have run, so it is no longer "not run".
        for leg in opened.legs:
            leg.may_have_run = leg.may_have_run or bool(leg.open_attempts)
        self._cancel_all(opened, now_ms)
        if opened.request.is_delegated:
            sender_id, message = self.desk.take_reply(opened)
            self._actions.append(PeerReply(sender_id, message))
            self._log(opened, f"for {sender_id}", None, now_ms)
            return
        reply = decide_reply(opened, reason, self._retry_after.draw())
        self._actions.append(SendReply(opened.request.key, reply))
        self._log(opened, reason, reply, now_ms)

    def _cancel_all(self, opened: OpenRequest, now_ms: float) -> None:
        freed = [leg.service for leg in opened.legs if leg.open_attempts]
        for leg in opened.legs:
            self._waiting.drop(leg)
        self._book.cancel_all(opened, now_ms)
        for service in freed:
            self._send_waiting(service, now_ms)
        letter = self.delegations.cancel(opened)
        if letter is not None:
            self._actions.append(letter)

    def _log(self, opened: OpenRequest, reason: str, reply, now_ms: float) -> None:
        fields, level = describe_request(opened, reason, reply, now_ms)
        self._actions.append(LogDecision("request", fields, level))
