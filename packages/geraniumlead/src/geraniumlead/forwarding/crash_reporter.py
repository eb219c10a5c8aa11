from collections.abc import Sequence
from random import Random

from geraniumlead.crashes import CrashGossip, CrashTracker
from geraniumlead.forwarding.actions import ForwardingAction
from geraniumlead.forwarding.crash_log import describe_notice, describe_told
from geraniumlead.peering import CrashReport, CrashReports, Hello, PeerDirectory

MAX_REPORTS_PER_HELLO = 40
"""Maximum number of refused requests told to a peer whose hello shows that it refuses others; they
are a random choice of more. A report has some hundred bytes."""

MAX_REPAIRS_PER_S = 80.0
"""Number of such reports a second, 8 KB/s, while instances start or parts of a fleet differ."""

MILLISECONDS_PER_S = 1000.0


class CrashReporter:
    """Exchanges with peers what is known of requests that crash upstreams.

    News is broadcast at once by gossip. Failure: an instance has just started, was cut off when the
    others were told, or was missed by chance, and gets the next try of the request. So each hello
    has a digest of what its sender refuses, and whoever refuses other requests tells it of them.
    """

    __slots__ = (
        "_actions",
        "_directory",
        "_gossip",
        "_random",
        "_refilled_ms",
        "_repairs",
        "_tracker",
    )

    def __init__(
        self,
        tracker: CrashTracker,
        directory: PeerDirectory,
        random: Random,
        actions: list[ForwardingAction],
    ) -> None:
        self._tracker = tracker
        self._directory = directory
        self._random = random
        self._actions = actions
        self._gossip = CrashGossip(random)
        self._repairs = MAX_REPAIRS_PER_S
        self._refilled_ms = 0.0

    def wake(self, now_ms: float) -> None:
        """Tell peers what is new, and let hellos carry the present digest."""
        self._tracker.wake(now_ms)
        for news in self._tracker.drain_news():
            self._gossip.add(news)
        self._directory.crash_digest = self._tracker.digest
        if now_ms < self._gossip.next_wake_ms():
            return
        near_ids, far_ids_by_region = self._directory.live_by_region(now_ms)
        for news_round in self._gossip.pop_rounds(near_ids, far_ids_by_region, now_ms):
            message = self.build_message(news_round.fingerprints, now_ms)
            for peer_id in news_round.peer_ids:
                self._send(peer_id, message)
            for report in message.reports:
                self._actions.append(describe_told(report, news_round.peer_ids))

    def next_wake_ms(self) -> float:
        """Return when ``wake`` has to be called."""
        return min(self._gossip.next_wake_ms(), self._tracker.next_wake_ms())

    def build_message(self, fingerprints: Sequence[int], now_ms: float) -> CrashReports:
        """Return a message that tells what is known of some requests."""
        reports = tuple(self._tracker.report(fingerprint, now_ms) for fingerprint in fingerprints)
        return CrashReports(now_ms, reports)

    def handle_reports(self, sender_id: str, message: CrashReports, now_ms: float) -> None:
        """Merge what a peer knows, and tell it of the requests that are known to be harmless here.

        Failure: an instance that never had a popular request takes it for the cause of a crash.
        """
        made_ms = now_ms - self._delay_ms(sender_id, message.sent_ms, now_ms)
        harmless = []
        for report in message.reports:
            known = self._tracker.find(report.fingerprint)
            before = 0 if known is None else len(known.all_crashes())
            if self._tracker.merge(report, sender_id, made_ms):
                after = self._tracker.find(report.fingerprint)
                self._actions.append(describe_notice(report, sender_id, before, after))
            if self._is_harmless(report, now_ms):
                harmless.append(report.fingerprint)
        if harmless:
            self._send(sender_id, self.build_message(harmless, now_ms))

    def handle_hello(self, hello: Hello, now_ms: float) -> None:
        """Tell a peer which requests are refused here if it refuses others."""
        if hello.crash_digest == self._tracker.digest:
            return
        refused = self._tracker.quarantined()
        if len(refused) > MAX_REPORTS_PER_HELLO:
            refused = self._random.sample(refused, MAX_REPORTS_PER_HELLO)
        if refused and self._may_repair(len(refused), now_ms):
            self._send(hello.contact.instance_id, self.build_message(refused, now_ms))

    def _may_repair(self, count: int, now_ms: float) -> bool:
        """Return whether so many reports may be sent now, and count them."""
        refill = (now_ms - self._refilled_ms) * MAX_REPAIRS_PER_S / MILLISECONDS_PER_S
        self._repairs = min(MAX_REPAIRS_PER_S, self._repairs + refill)
        self._refilled_ms = now_ms
        if self._repairs < count:
            return False
        self._repairs -= count
        return True

    def _is_harmless(self, report: CrashReport, now_ms: float) -> bool:
        """Return whether the sender should be told of an answer that it doesn't know of."""
        if report.quarantined_age_ms is None:
            is_known = report.answered_age_ms is not None
            return not is_known and self._tracker.is_proven(report.fingerprint, now_ms)
        is_refused = self._tracker.is_quarantined(report.fingerprint)
        return not is_refused and self._tracker.was_answered(report.fingerprint)

    def _delay_ms(self, sender_id: str, sent_ms: float, now_ms: float) -> float:
        """Return how much longer than usual a message took, for instance through a cut network."""
        peer = self._directory.peers.get(sender_id)
        return 0.0 if peer is None else peer.extra_delay_ms(sent_ms, now_ms)

    def _send(self, peer_id: str, message: CrashReports) -> None:
        peer = self._directory.peers.get(peer_id)
        if peer is not None:
            self._actions.append(peer.address_message(message))
