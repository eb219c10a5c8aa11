from geraniumlead.crashes import (
    Crash,
    CrashTracker,
    UnansweredAttempt,
    hash_lost_process,
)
from geraniumlead.forwarding.actions import ForwardingAction
from geraniumlead.forwarding.attempt_tracker import process_of
from geraniumlead.forwarding.crash_log import describe_given_up, describe_strike
from geraniumlead.forwarding.open_request import Attempt, OpenRequest, Subrequest
from geraniumlead.published_upstreams import UpstreamRecord

LAPSED = "entry lapsed"
"""Cause of a loss that only the upstream's entry in the store has shown."""


class CrashGuard:
    """Records the upstreams that are lost under requests, and tells what must not be sent.

    As long as no shard of a query has answered, any part of it may be the cause of a loss.
    Afterwards it can only be the part that the lost upstream had, so each part is judged alone.
    """

    __slots__ = ("_actions", "tracker")

    def __init__(self, tracker: CrashTracker, actions: list[ForwardingAction]) -> None:
        self.tracker = tracker
        self._actions = actions

    def may_crash_more(self, open_request: OpenRequest) -> bool:
        """Return whether a request is suspected of crashing upstreams, and none has answered it."""
        if not self.tracker.has_suspected or open_request.answered:
            return False
        return self.tracker.is_suspected(open_request.request.fingerprint)

    def is_refused(self, open_request: OpenRequest) -> bool:
        """Return whether a request has been refused since it was started."""
        return self.tracker.is_quarantined(open_request.request.fingerprint)

    def is_part_refused(self, subrequest: Subrequest, now_ms: float) -> bool:
        """Return whether a part of a query must not be sent."""
        if not self.tracker.has_suspected or not subrequest.request.is_fan_out:
            return False
        return not self.tracker.may_start(subrequest.part_fingerprint, now_ms)

    def is_part_suspected(self, subrequest: Subrequest) -> bool:
        """Return whether a part of a query that has lost upstreams may crash more of them."""
        if not subrequest.crashes:
            return False
        return self.tracker.is_suspected(subrequest.part_fingerprint)

    def record_lost(
        self, attempt: Attempt, cause: str, now_ms: float, is_silent: bool = False
    ) -> None:
        """Record that an upstream was lost under a request, or under one part of a query."""
        subrequest, upstream = attempt.subrequest, attempt.upstream
        open_request = subrequest.request
        process = hash_lost_process(upstream.upstream_id, upstream.started_ms, attempt.sent_ms)
        crash = Crash(process, attempt.sent_ms, now_ms, is_silent)
        subrequest.crashes.append(crash)
        if not open_request.answered:
            fingerprint = open_request.request.fingerprint
        elif open_request.is_fan_out:
            fingerprint = subrequest.part_fingerprint
        else:
            return
        record = self.tracker.record_lost(fingerprint, crash, now_ms)
        if record is not None:
            strike = describe_strike(open_request.request, fingerprint, upstream, record, cause)
            self._actions.append(strike)

    def record_silent(
        self, found: UnansweredAttempt, upstream: UpstreamRecord, now_ms: float
    ) -> None:
        """Record that an upstream was lost which an earlier request has got no answer from."""
        crash = Crash(process_of(upstream), found.sent_ms, found.ended_ms, is_silent=True)
        record = self.tracker.record_lost(found.fingerprint, crash, now_ms)
        if record is not None:
            self.tracker.record_failed(found.fingerprint)
            strike = describe_given_up(found.fingerprint, upstream, record, LAPSED)
            self._actions.append(strike)

    def record_answered(self, subrequest: Subrequest, now_ms: float) -> None:
        """Record an answer, which clears the request, and the part of the query that it is for.

        Failure: a query crashes the upstreams of one shard, and is cleared by each other one. What
        was lost before the first answer counts against the parts that had it.
        """
        open_request = subrequest.request
        if not open_request.answered:
            self.tracker.record_answered(open_request.request.fingerprint, now_ms)
            for other in open_request.subrequests:
                if other is not subrequest:
                    self._record_part_crashes(other, now_ms)
        if open_request.is_fan_out and self.tracker:
            part = subrequest.part_fingerprint
            if self.tracker.find(part) is not None:
                self.tracker.record_answered(part, now_ms)

    def record_ended(self, open_request: OpenRequest) -> list[int]:
        """Record the end of a request; return the fingerprints of which peers have to be told.

        They are those of the request, or of its parts, that got crashes and no answer.
        """
        if not self.tracker:
            return []
        if not open_request.answered:
            ended = [open_request.request.fingerprint]
        else:
            ended = [
                subrequest.part_fingerprint
                for subrequest in open_request.subrequests
                if subrequest.crashes and subrequest.answer is None
            ]
        crashed = [found for found in ended if self.tracker.find(found) is not None]
        for fingerprint in crashed:
            self.tracker.record_failed(fingerprint)
        return crashed

    def _record_part_crashes(self, subrequest: Subrequest, now_ms: float) -> None:
        for crash in subrequest.crashes:
            self.tracker.record_lost(subrequest.part_fingerprint, crash, now_ms)
