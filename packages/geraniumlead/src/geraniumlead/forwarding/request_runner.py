"""Run requests: send, send again, and end each with one reply."""

from collections.abc import Sequence
from random import Random

from geraniumlead.fleet import FleetView
from geraniumlead.forwarding.actions import ForwardingAction, LogDecision, SendReply
from geraniumlead.forwarding.attempt_tracker import AttemptTracker
from geraniumlead.forwarding.closing import decide_reply
from geraniumlead.forwarding.crash_refusal import refuse_crashing
from geraniumlead.forwarding.crash_tracker import CrashTracker
from geraniumlead.forwarding.delegated_subrequests import DelegatedSubrequests
from geraniumlead.forwarding.delegation_planner import DelegationPlanner
from geraniumlead.forwarding.delegation_tracker import Delegation
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.open_request import OpenRequest, Subrequest
from geraniumlead.forwarding.own_delay import OwnDelay
from geraniumlead.forwarding.request_line import describe_request
from geraniumlead.forwarding.request_services import RequestServices
from geraniumlead.forwarding.results import AttemptResult
from geraniumlead.forwarding.retry_after import RetryAfter
from geraniumlead.forwarding.subrequest_sender import SubrequestSender
from geraniumlead.forwarding.upstream_chooser import UpstreamChooser
from geraniumlead.forwarding.waiting_subrequests import LONGEST_WAIT_GOAL_SHARE
from geraniumlead.forwarding.wake_times import NEVER_MS, WakeTimes
from geraniumlead.peering import DelegatedReply, PeerDirectory
from geraniumlead.routes import PublishedConfiguration, Route
from geraniumlead.settings.forwarding_settings import ForwardingSettings


class RequestRunner:
    """Hold the open requests of this instance.

    This is the one layer that sends again, so that tries never multiply. A request that may
    have run is never said not to have run, and one that must not be repeated is sent again
    only after an answer that it was not executed.
    """

    __slots__ = (
        "_actions",
        "_book",
        "_fleet",
        "_legs",
        "_open",
        "_retry_after",
        "_services",
        "_wakes",
        "crashes",
        "delegated",
        "own_delay",
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
        self._retry_after = retry_after
        self._actions = actions
        self._fleet = fleet
        self._book = AttemptTracker(settings, fleet, random, actions)
        self.crashes = CrashTracker()
        self._legs = SubrequestSender(self._book, self.crashes)
        plan = DelegationPlanner(settings, fleet, directory, random)
        self.delegated = DelegatedSubrequests(plan, self._legs, actions, directory.own_contact)
        self._open: dict[int, OpenRequest] = {}
        self._wakes = WakeTimes()
        self._services = RequestServices(random)
        self.own_delay = OwnDelay()

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._open)

    @property
    def chooser(self) -> UpstreamChooser:
        """Return what chooses upstreams."""
        return self._book.chooser

    def is_isolated(self, now_ms: float) -> bool:
        """Return whether this instance is cut off from all upstreams."""
        return self._book.isolation.is_isolated(now_ms)

    def set_instances(self, count: int, live: Sequence[str]) -> None:
        """Take over how many instances share the limits of the fleet, and who lives of them."""
        self._book.chooser.set_instances(count, live)
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
        if not request.is_delegated and self._is_crashing(request, now_ms):
            self._actions += refuse_crashing(request, route)
            return
        services = self._services.of_request(request, route)
        margin_ms = self.own_delay.margin_ms(route.latency_goal_ms, len(services), now_ms)
        goal_ms, end_ms = self._book.clock.times_of(request, route, margin_ms)
        view_age_ms = self._fleet.age_ms(now_ms)
        opened = OpenRequest(request, route, configuration, goal_ms, end_ms, margin_ms, view_age_ms)
        opened.subrequests = [Subrequest(opened, service) for service in services]
        self._open[request.key] = opened
        chosen = self._legs.choose_all(opened, now_ms)
        if opened.is_hopeless:
            self._legs.record_first(opened, now_ms)
            # Known before anything is sent, so this refusal is true and early.
            self._finish(opened, "no_upstream", now_ms)
            return
        if not request.is_delegated and self._book.isolation.should_refuse(now_ms):
            self._finish(opened, "unreachable", now_ms)
            return
        chosen = self.delegated.delegate(opened, chosen, now_ms)
        self._legs.record_first(opened, now_ms)
        for leg, upstream in chosen:
            self._book.send(leg, upstream, now_ms)
        self._go_on(opened, now_ms)

    def _is_crashing(self, request: ForwardedRequest, now_ms: float) -> bool:
        return bool(self.crashes) and self.crashes.is_refused(request.fingerprint, now_ms)

    def take_delegated(self, delegation: Delegation, reply: DelegatedReply, now_ms: float) -> None:
        """Take in what a peer brought for the shards that it was asked to ask."""
        self.delegated.handle_reply(delegation, reply, now_ms)
        self._go_on(delegation.opened, now_ms)

    def ask_beside(self, delegation: Delegation, now_ms: float) -> None:
        """Ask shards from here as well of which a peer has not said that it asks them."""
        self.delegated.hedge(delegation, now_ms)
        self._go_on(delegation.opened, now_ms)

    def take_back(self, delegation: Delegation, why: str, now_ms: float) -> None:
        """Ask the shards from here of which a peer said nothing."""
        self.delegated.reclaim(delegation, why, now_ms)
        self._go_on(delegation.opened, now_ms)

    def finish_attempt(self, attempt_id: int, result: AttemptResult, now_ms: float) -> None:
        """Take in the end of an attempt; one that nobody waits for is dropped."""
        attempt = self._book.take(attempt_id, result, now_ms)
        if attempt is None:
            return
        leg = attempt.subrequest
        if not leg.is_settled:
            self._legs.take_result(attempt, result, now_ms)
        if not self._finish_if_done(leg.request, now_ms):
            self._arm_leg(leg, now_ms)
        self._send_waiting(leg.service, now_ms)

    def note_shared(self, key: int) -> None:
        """Note that the sender of a peer's request asks its shards as well."""
        opened = self._open.get(key)
        if opened is not None:
            opened.is_shared = True

    def drop(self, key: int, now_ms: float) -> None:
        """Forget a request whose caller left, and stop all work for it."""
        opened = self._open.pop(key, None)
        if opened is not None:
            self._cancel_all(opened, now_ms)
            self._log(opened, "caller_left", None, now_ms)

    def wake(self, now_ms: float) -> None:
        """Look after the requests whose time has come."""
        while (due := self._wakes.take_due(now_ms)) is not None:
            due_ms, key = due
            opened = self._open.get(key)
            if opened is not None and opened.check_ms == due_ms:
                opened.check_ms = NEVER_MS
                self.own_delay.note_timer(now_ms - due_ms, now_ms)
                self._check(opened, now_ms)

    def next_wake_ms(self) -> float:
        """Return the earliest time at which ``wake`` has something to do."""
        return self._wakes.next_ms()

    def end_all(self, now_ms: float) -> None:
        """Give every open request its last answer."""
        for opened in list(self._open.values()):
            self._finish(opened, "stopping", now_ms)

    def _go_on(self, opened: OpenRequest, now_ms: float) -> None:
        """End a request if that is due, else set the time of its next look."""
        if not self._finish_if_done(opened, now_ms):
            self._arm(opened, now_ms)

    def _send_waiting(self, service: str, now_ms: float) -> None:
        for leg in self._legs.send_waiting(service, now_ms):
            self._arm_leg(leg, now_ms)

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
            self._legs.repeat_late(opened, now_ms)
        self._arm(opened, now_ms)

    def _wait_end_ms(self, opened: OpenRequest) -> float:
        """Return when a request of which nothing was sent yet is refused."""
        if opened.may_have_run or opened.delegations:
            return NEVER_MS
        if not any(leg.is_waiting for leg in opened.subrequests):
            return NEVER_MS
        if any(leg.open_attempts for leg in opened.subrequests):
            return NEVER_MS
        goal_ms = opened.route.latency_goal_ms
        return opened.request.arrived_ms + LONGEST_WAIT_GOAL_SHARE * goal_ms

    def _arm(self, opened: OpenRequest, now_ms: float) -> None:
        """Set the next time at which the request is looked after."""
        due_ms = min(opened.end_ms, self._wait_end_ms(opened))
        if opened.is_fan_out and opened.goal_ms > now_ms:
            due_ms = min(due_ms, opened.goal_ms)
        if opened.route.is_idempotent:
            due_ms = min(due_ms, self._legs.next_late_ms(opened, now_ms))
        self._look_at(opened, due_ms)

    def _arm_leg(self, leg: Subrequest, now_ms: float) -> None:
        """Set the time of the next look no later than one leg needs it.

        Failure: each answer of a query over 135 shards set the time anew from all its legs,
        which took 40 ms of the processor, a third of the goal. The other legs are no sooner
        late than before; a look that comes too early finds nothing to do.
        """
        opened = leg.request
        due_ms = self._wait_end_ms(opened)
        if opened.route.is_idempotent:
            due_ms = min(due_ms, self._legs.late_at_ms(leg, now_ms))
        if due_ms < opened.check_ms:
            self._look_at(opened, due_ms)

    def _look_at(self, opened: OpenRequest, due_ms: float) -> None:
        if due_ms != opened.check_ms:
            opened.check_ms = due_ms
            self._wakes.add(due_ms, opened.request.key)

    def _finish_if_done(self, opened: OpenRequest, now_ms: float) -> bool:
        """End a request that needs no further answer, or can't get enough of them."""
        if opened.request.key not in self._open:
            return True
        is_over_goal = opened.is_fan_out and now_ms >= opened.goal_ms
        if (
            is_over_goal
            and opened.request.is_delegated
            and opened.settled < len(opened.subrequests)
        ):
            self.delegated.send_partial_reply(opened)
            return False
        if opened.settled == len(opened.subrequests) or (is_over_goal and opened.has_enough):
            self._finish(opened, "answered" if opened.has_enough else opened.first_failure, now_ms)
            return True
        if opened.is_hopeless:
            self._finish(opened, opened.first_failure, now_ms)
            return True
        return False

    def _finish(self, opened: OpenRequest, reason: str, now_ms: float) -> None:
        del self._open[opened.request.key]
        # What is still out at the end may have run, so it is no longer "not run".
        for leg in opened.subrequests:
            leg.may_have_run = leg.may_have_run or bool(leg.open_attempts)
        self._cancel_all(opened, now_ms)
        if opened.request.is_delegated:
            sender_id = self.delegated.send_final_reply(opened)
            self._log(opened, f"for {sender_id}", None, now_ms)
            return
        if self.crashes and not opened.answered:
            self.crashes.record_ended(opened.request.fingerprint)
        reply = decide_reply(opened, reason, self._retry_after.draw())
        self._actions.append(SendReply(opened.request.key, reply))
        self._log(opened, reason, reply, now_ms)

    def _cancel_all(self, opened: OpenRequest, now_ms: float) -> None:
        for service in self._legs.cancel(opened, now_ms):
            self._send_waiting(service, now_ms)
        self.delegated.cancel(opened)

    def _log(self, opened: OpenRequest, reason: str, reply, now_ms: float) -> None:
        fields, level = describe_request(opened, reason, reply, now_ms)
        self._actions.append(LogDecision("request", fields, level))
