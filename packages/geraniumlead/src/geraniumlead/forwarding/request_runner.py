from collections.abc import Sequence
from random import Random

from geraniumlead.crashes import CrashTracker
from geraniumlead.forwarding.actions import ForwardingAction, LogDecision, SendReply
from geraniumlead.forwarding.attempt_tracker import AttemptTracker, process_of
from geraniumlead.forwarding.crash_guard import LAPSED, CrashGuard
from geraniumlead.forwarding.crash_refusal import refuse_crashing
from geraniumlead.forwarding.delegated_subrequests import DelegatedSubrequests
from geraniumlead.forwarding.delegation_planner import DelegationPlanner
from geraniumlead.forwarding.delegation_tracker import Delegation
from geraniumlead.forwarding.final_reply import decide_reply
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.open_request import OpenRequest, Subrequest
from geraniumlead.forwarding.processing_delay import ProcessingDelay
from geraniumlead.forwarding.request_check_error import RequestCheckError
from geraniumlead.forwarding.request_log import describe_request
from geraniumlead.forwarding.request_services import RequestServices
from geraniumlead.forwarding.results import AttemptResult
from geraniumlead.forwarding.retry_after import RetryAfter
from geraniumlead.forwarding.subrequest_sender import NO_UPSTREAM, TOO_LATE, SubrequestSender
from geraniumlead.forwarding.upstream_chooser import UpstreamChooser
from geraniumlead.forwarding.upstream_share import NOT_SHARED, SentForPeer, UpstreamShare
from geraniumlead.forwarding.waiting_subrequests import MAX_WAIT_GOAL_SHARE
from geraniumlead.forwarding.wake_times import NEVER_MS, WakeTimes
from geraniumlead.peering import CrashReports, DelegatedReply, PeerDirectory
from geraniumlead.published_upstreams import UpstreamRecord, UpstreamView
from geraniumlead.routes import PublishedConfiguration, Route
from geraniumlead.settings.forwarding_settings import ForwardingSettings


class RequestRunner:
    """Runs the open requests of this instance, and ends each with exactly one reply.

    This is the only layer that retries, so that the attempts of several layers never multiply. A
    request that may have been executed is never reported as not executed. A request that is not
    idempotent is sent again only if it certainly was not executed.
    """

    __slots__ = (
        "_actions",
        "_guard",
        "_open",
        "_retry_after",
        "_sender",
        "_services",
        "_tracker",
        "_upstream_view",
        "_wakes",
        "crashes",
        "delegated",
        "processing_delay",
    )

    def __init__(
        self,
        settings: ForwardingSettings,
        upstream_view: UpstreamView,
        random: Random,
        retry_after: RetryAfter,
        actions: list[ForwardingAction],
        directory: PeerDirectory,
        started_ms: float,
    ) -> None:
        self._retry_after = retry_after
        self._actions = actions
        self._upstream_view = upstream_view
        self._tracker = AttemptTracker(settings, upstream_view, random, actions, started_ms)
        self.crashes = CrashTracker(settings.instance_id)
        self._guard = CrashGuard(self.crashes, actions)
        self._sender = SubrequestSender(self._tracker, self._guard)
        planner = DelegationPlanner(settings, upstream_view, directory, random)
        self.delegated = DelegatedSubrequests(
            planner, self._sender, actions, directory.own_contact, directory.incarnation
        )
        self._open: dict[int, OpenRequest] = {}
        self._wakes = WakeTimes()
        self._services = RequestServices(random)
        self.processing_delay = ProcessingDelay()

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._open)

    @property
    def chooser(self) -> UpstreamChooser:
        """Return the chooser of upstreams."""
        return self._tracker.chooser

    def is_isolated(self, now_ms: float) -> bool:
        """Return whether this instance is isolated from all upstreams."""
        return self._tracker.isolation.is_isolated(now_ms)

    def set_instances(self, count: int, live: Sequence[str], is_count_known: bool) -> None:
        """Set the number of instances that share the fleet's limits, and the live instances."""
        self._tracker.chooser.set_instances(count, live)
        self._tracker.budgets.set_instances(count, is_count_known)

    def apply_settings(self, settings: ForwardingSettings, now_ms: float) -> None:
        """Apply changed settings."""
        self._tracker.budgets.apply_settings(settings, now_ms)
        self._tracker.chooser.apply_settings(settings)

    def start(
        self,
        request: ForwardedRequest,
        route: Route,
        configuration: PublishedConfiguration,
        now_ms: float,
    ) -> None:
        """Send a request to one upstream of each of its services, or refuse it."""
        if self._must_refuse(request, now_ms):
            record = self.crashes.find(request.fingerprint)
            self._actions += refuse_crashing(request, route, record, now_ms)
            return
        services = self._services.of_request(request, route)
        margin_ms = self.processing_delay.margin_ms(route.latency_goal_ms, len(services), now_ms)
        goal_ms, deadline = self._tracker.lateness.deadlines_of(request, route, margin_ms)
        view_age_ms = self._upstream_view.age_ms(now_ms)
        open_request = OpenRequest(
            request, route, configuration, goal_ms, deadline, margin_ms, view_age_ms
        )
        open_request.subrequests = [
            Subrequest(open_request, service, share=_share_of(request, service))
            for service in services
        ]
        self._open[request.key] = open_request
        chosen = self._sender.choose_upstreams(open_request, now_ms)
        if open_request.cannot_succeed:
            self._sender.record_first(open_request, now_ms)
            # Nothing has been sent, so the reply can state that nothing was executed.
            is_too_late = any(item.failure == TOO_LATE for item in open_request.subrequests)
            self._finish(open_request, TOO_LATE if is_too_late else NO_UPSTREAM, now_ms)
            return
        if not request.is_delegated and self._tracker.isolation.should_refuse(now_ms):
            self._finish(open_request, "unreachable", now_ms)
            return
        chosen = self.delegated.delegate(open_request, chosen, now_ms)
        self._sender.record_first(open_request, now_ms)
        for subrequest, upstream in chosen:
            self._tracker.send(subrequest, upstream, now_ms)
        self._finish_or_schedule(open_request, now_ms)

    def _must_refuse(self, request: ForwardedRequest, now_ms: float) -> bool:
        """Return whether a caller's request has to be refused since it crashes upstreams."""
        if request.is_delegated or not self.crashes.has_suspected:
            return False
        return not self.crashes.may_start(request.fingerprint, now_ms)

    def handle_lost_process(self, upstream: UpstreamRecord, now_ms: float) -> None:
        """Record the requests that a lost upstream process had and that none has answered."""
        process = process_of(upstream)
        for attempt in self._tracker.open_at(process):
            self._guard.record_lost(attempt, LAPSED, now_ms, is_silent=True)
        for found in self._tracker.unanswered.pop(process, now_ms):
            self._guard.record_silent(found, upstream, now_ms)

    def handle_delegated_reply(
        self, delegation: Delegation, reply: DelegatedReply, now_ms: float
    ) -> None:
        """Handle a peer's reply to the shards that were delegated to it."""
        self.delegated.handle_reply(delegation, reply, now_ms)
        self._finish_or_schedule(delegation.open_request, now_ms)

    def hedge_delegated(self, delegation: Delegation, now_ms: float) -> None:
        """Hedge the shards of a delegation whose peer is late."""
        self.delegated.hedge(delegation, now_ms)
        self._finish_or_schedule(delegation.open_request, now_ms)

    def reclaim_delegated(self, delegation: Delegation, reason: str, now_ms: float) -> None:
        """Query the shards of a delegation that was given up from this instance."""
        self.delegated.reclaim(delegation, reason, now_ms)
        self._finish_or_schedule(delegation.open_request, now_ms)

    def finish_attempt(self, attempt_id: int, result: AttemptResult, now_ms: float) -> None:
        """Handle the result of an attempt; the result of a cancelled one is ignored."""
        attempt = self._tracker.finish(attempt_id, result, now_ms)
        if attempt is None:
            return
        subrequest = attempt.subrequest
        if not subrequest.is_settled:
            self._sender.handle_result(attempt, result, now_ms)
        if not self._finish_if_done(subrequest.request, now_ms):
            self._schedule_subrequest_check(subrequest, now_ms)
        self._send_waiting(subrequest.service, now_ms)

    def find_request_id(self, key: int) -> str | None:
        """Return the request id of an open request; None if it has ended."""
        open_request = self._open.get(key)
        return None if open_request is None else open_request.request.request_id

    def mark_hedged(self, key: int) -> None:
        """Record that the peer that delegated a request queries its shards as well."""
        open_request = self._open.get(key)
        if open_request is not None:
            open_request.is_hedged = True

    def drop(self, key: int, now_ms: float) -> None:
        """Remove a request whose caller disconnected, and cancel all work for it."""
        open_request = self._open.pop(key, None)
        if open_request is not None:
            self._cancel_all(open_request, now_ms)
            self._report_crashes(open_request, now_ms)
            self._log(open_request, "caller_left", None, now_ms)
            open_request.release()

    def wake(self, now_ms: float) -> None:
        """Check the requests whose next check is due."""
        while (due := self._wakes.pop_due(now_ms)) is not None:
            due_ms, key = due
            open_request = self._open.get(key)
            if open_request is not None and open_request.next_check_ms == due_ms:
                open_request.next_check_ms = NEVER_MS
                self.processing_delay.record_timer(now_ms - due_ms, now_ms)
                self._check_or_end(open_request, now_ms)
        self._actions += self._tracker.budgets.pop_log_lines(now_ms)

    def next_wake_ms(self) -> float:
        """Return when ``wake`` has to be called next."""
        return self._wakes.next_ms()

    def end_all(self, now_ms: float) -> None:
        """End every open request with a reply."""
        for open_request in list(self._open.values()):
            self._finish(open_request, "stopping", now_ms)

    def _finish_or_schedule(self, open_request: OpenRequest, now_ms: float) -> None:
        """End a request if it is complete or has failed, else schedule its next check."""
        if not self._finish_if_done(open_request, now_ms):
            self._schedule_check(open_request, now_ms)

    def _send_waiting(self, service: str, now_ms: float) -> None:
        for subrequest in self._sender.send_waiting(service, now_ms):
            self._schedule_subrequest_check(subrequest, now_ms)

    def _check_or_end(self, open_request: OpenRequest, now_ms: float) -> None:
        """Check a request. Raise RequestCheckError if that fails: the request ends."""
        request = open_request.request
        try:
            self._check(open_request, now_ms)
        except Exception as error:
            self._open.pop(request.key, None)
            raise RequestCheckError(request.key, request.request_id) from error

    def _check(self, open_request: OpenRequest, now_ms: float) -> None:
        """End a request that has timed out, or hedge its late subrequests."""
        if now_ms >= open_request.end_ms:
            self._finish(open_request, "timeout", now_ms)
            return
        if self._finish_if_done(open_request, now_ms):
            return
        if now_ms >= self._wait_end_ms(open_request):
            self._finish(open_request, "no_place", now_ms)
            return
        if open_request.route.is_idempotent:
            self._sender.hedge_late(open_request, now_ms)
        self._schedule_check(open_request, now_ms)

    def _wait_end_ms(self, open_request: OpenRequest) -> float:
        """Return when a request is refused of which nothing has been sent yet."""
        if open_request.may_have_run or open_request.delegations:
            return NEVER_MS
        if not any(subrequest.is_waiting for subrequest in open_request.subrequests):
            return NEVER_MS
        if any(subrequest.open_attempts for subrequest in open_request.subrequests):
            return NEVER_MS
        goal_ms = open_request.route.latency_goal_ms
        return open_request.request.arrived_ms + MAX_WAIT_GOAL_SHARE * goal_ms

    def _schedule_check(self, open_request: OpenRequest, now_ms: float) -> None:
        """Schedule the next check of a request."""
        due_ms = min(open_request.end_ms, self._wait_end_ms(open_request))
        if open_request.is_fan_out and open_request.goal_ms > now_ms:
            due_ms = min(due_ms, open_request.goal_ms)
        if open_request.route.is_idempotent:
            due_ms = min(due_ms, self._sender.next_late_ms(open_request, now_ms))
        self._set_next_check(open_request, due_ms)

    def _schedule_subrequest_check(self, subrequest: Subrequest, now_ms: float) -> None:
        """Schedule the next check of a request no later than one subrequest needs it.

        Failure: each answer of a query over 135 shards recomputed the time from all subrequests,
        which took 40 ms of CPU time, a third of the goal. The other subrequests don't become late
        earlier than before, and a check that comes too early finds nothing to do.
        """
        open_request = subrequest.request
        due_ms = self._wait_end_ms(open_request)
        if open_request.route.is_idempotent:
            due_ms = min(due_ms, self._sender.late_at_ms(subrequest, now_ms))
        if due_ms < open_request.next_check_ms:
            self._set_next_check(open_request, due_ms)

    def _set_next_check(self, open_request: OpenRequest, due_ms: float) -> None:
        if due_ms != open_request.next_check_ms:
            open_request.next_check_ms = due_ms
            self._wakes.add(due_ms, open_request.request.key)

    def _finish_if_done(self, open_request: OpenRequest, now_ms: float) -> bool:
        """End a request that needs no more answers, or can't get enough of them."""
        if open_request.request.key not in self._open:
            return True
        self._sender.resolve_held(open_request, now_ms)
        is_over_goal = open_request.is_fan_out and now_ms >= open_request.goal_ms
        if (
            is_over_goal
            and open_request.request.is_delegated
            and open_request.settled < len(open_request.subrequests)
        ):
            self.delegated.send_partial_reply(open_request)
            return False
        if open_request.settled == len(open_request.subrequests) or (
            is_over_goal and open_request.has_enough
        ):
            self._finish(
                open_request,
                "answered" if open_request.has_enough else open_request.first_failure,
                now_ms,
            )
            return True
        if open_request.cannot_succeed:
            self._finish(open_request, open_request.first_failure, now_ms)
            return True
        return False

    def _finish(self, open_request: OpenRequest, reason: str, now_ms: float) -> None:
        del self._open[open_request.request.key]
        # Attempts that are still open at the end may have been executed.
        for subrequest in open_request.subrequests:
            subrequest.may_have_run = subrequest.may_have_run or bool(subrequest.open_attempts)
        self._cancel_all(open_request, now_ms)
        self._report_crashes(open_request, now_ms)
        if open_request.request.is_delegated:
            receiver = self.delegated.send_final_reply(open_request)
            self._log(open_request, f"for {receiver.instance_id}", None, now_ms)
        else:
            reply = decide_reply(open_request, reason, self._retry_after.draw())
            self._actions.append(SendReply(open_request.request.key, reply))
            self._log(open_request, reason, reply, now_ms)
        open_request.release()

    def _report_crashes(self, open_request: OpenRequest, now_ms: float) -> None:
        """Let peers be told of the upstreams that were lost under a request, or a part of it.

        The peer that delegated it is told before it gets the reply, or it would send what is
        missing to the other upstreams.
        """
        crashed = self._guard.record_ended(open_request)
        if crashed and open_request.request.is_delegated:
            reports = tuple(self.crashes.report(fingerprint, now_ms) for fingerprint in crashed)
            self.delegated.send_crashes(open_request, CrashReports(now_ms, reports))

    def _cancel_all(self, open_request: OpenRequest, now_ms: float) -> None:
        for service in self._sender.cancel(open_request, now_ms):
            self._send_waiting(service, now_ms)
        self.delegated.cancel(open_request)

    def _log(self, open_request: OpenRequest, reason: str, reply, now_ms: float) -> None:
        fields, level = describe_request(open_request, reason, reply, now_ms)
        self._actions.append(LogDecision("request", fields, level))


def _share_of(request: ForwardedRequest, service: str) -> UpstreamShare:
    """Return which upstreams of a service the peer that delegated a request may reach."""
    upstream_id = request.shared_upstreams.get(service)
    return NOT_SHARED if upstream_id is None else SentForPeer(upstream_id)
