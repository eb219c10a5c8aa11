"""Test what instances tell each other of requests that crash upstreams."""

from random import Random
from unittest import TestCase

from core_tests.crashes.builders import REQUEST, build_quarantined
from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_record,
    build_route,
    build_settings,
    build_updates,
)
from core_tests.forwarding.harness import ForwarderHarness
from core_tests.forwarding.instance_pair import FAR, InstancePair
from geraniumlead.crashes import CrashTracker
from geraniumlead.forwarding import PeerMessageReceived, PossiblyExecuted
from geraniumlead.forwarding.crash_reporter import MAX_REPAIRS_PER_S, CrashReporter
from geraniumlead.peering import (
    CrashReport,
    CrashReports,
    DelegatedReply,
    Hello,
    LostProcess,
    PeerContact,
)
from geraniumlead.peering.directory import INFORMED_AFTER_MS

LOST = PossiblyExecuted("reset", is_connection_lost=True)


class InstancePairTests(TestCase):
    """The near instance delegates four of five shards to the far one."""

    def setUp(self):
        self.pair = InstancePair()
        self.near, self.far = self.pair.near, self.pair.far

    def crash_everything(self, key: int) -> tuple[int, int]:
        """Send the query once; return how many upstreams it crashed from here and from there."""
        counts = len(self.near.started), len(self.far.started)
        done = list(counts)
        self.near.ask(key)
        for _ in range(20):
            self.pair.deliver()
            for position, harness in enumerate((self.near, self.far)):
                while done[position] < len(harness.started):
                    done[position] += 1
                    harness.end(harness.started[done[position] - 1], LOST)
            self.pair.advance(10.0)
        return done[0] - counts[0], done[1] - counts[1]

    def test_a_query_that_crashes_the_upstreams_of_a_peer_is_refused(self):
        """Guards against a crashing query whose part at a peer is never judged.

        Its caller sends it every two seconds, and each try took six upstreams.
        """
        crashed = []
        for key in range(1, 13):
            crashed.append(sum(self.crash_everything(key)))
            self.pair.run_until(self.near.now_ms + 1_800.0)
        self.assertLessEqual(crashed[0], 6)
        self.assertLessEqual(crashed[1], 1)
        self.assertEqual([0] * 10, crashed[2:])
        self.assertEqual(503, self.near.replies[12].status)

    def test_a_peer_that_refuses_a_query_tells_why_before_it_declines(self):
        """Guards against shards that are sent from here since a peer refused them."""
        fingerprint = self.near.ask(1)[0].request.fingerprint
        for number, at_ms in enumerate((100.0, 110.0, 1_000.0)):
            self.far.forwarder._runner.crashes.merge(
                CrashReport(fingerprint, (LostProcess(number, int(at_ms), int(at_ms) - 10),)),
                "entry-9",
                self.far.now_ms,
            )
        self.far.outgoing.clear()
        self.pair.deliver_from(self.near)
        kinds = [
            type(outgoing.message)
            for outgoing in self.far.outgoing
            if isinstance(outgoing.message, CrashReports | DelegatedReply)
        ]
        self.assertEqual([CrashReports, DelegatedReply], kinds[:2])
        started = len(self.near.started)
        self.pair.deliver()
        self.assertEqual(started, len(self.near.started))

    def test_an_answer_that_a_peer_passes_on_clears_the_request_here(self):
        """Guards against strikes of a query that is answered, but always by way of a peer."""
        (attempt,) = self.near.ask(1)
        self.near.end(attempt, LOST)
        self.pair.deliver()
        for started in list(self.far.started):
            self.far.end(started, build_answer(b"x" * 16, signature=started.upstream.service))
        self.pair.deliver()
        self.assertIsNone(self.near.forwarder._runner.crashes.find(attempt.request.fingerprint))

    def test_an_answer_at_one_instance_releases_the_request_at_the_other(self):
        attempts = self.near.ask(1)
        fingerprint = attempts[0].request.fingerprint
        for tracker in (self.near, self.far):
            tracker.forwarder._runner.crashes.merge(
                CrashReport(fingerprint, (LostProcess(1, 900, 890), LostProcess(2, 890, 880))),
                "entry-9",
                self.near.now_ms,
            )
        self.near.end(attempts[0], build_answer())
        self.pair.deliver()
        self.assertIsNone(self.far.forwarder._runner.crashes.find(fingerprint))


class FakeDirectory:
    """Knows one peer; no peer is live, so that nothing is broadcast."""

    def __init__(self) -> None:
        self.peers = InstancePair().near.forwarder._peers.directory.peers
        self.crash_digest = 0

    def live_by_region(self, now_ms: float) -> tuple[list[str], dict[str, list[str]]]:
        return [], {}


class HelloTests(TestCase):
    def setUp(self):
        self.actions = []

    def build(self, tracker: CrashTracker) -> CrashReporter:
        return CrashReporter(tracker, FakeDirectory(), Random(1), self.actions)

    def hello(self, digest: int) -> Hello:
        contact = PeerContact(FAR, "10.2.0.1:1", "midden-a")
        return Hello(contact, 1, 1, True, 0.0, crash_digest=digest)

    def test_a_peer_that_refuses_others_is_told(self):
        """Guards against instances that started or were cut off when the others were told."""
        reporter = self.build(build_quarantined())
        reporter.handle_hello(self.hello(0), 2_000.0)
        (outgoing,) = self.actions
        self.assertEqual(FAR, outgoing.instance_id)
        self.assertEqual([REQUEST], [report.fingerprint for report in outgoing.message.reports])

    def test_a_peer_that_refuses_the_same_is_told_nothing(self):
        tracker = build_quarantined()
        self.build(tracker).handle_hello(self.hello(tracker.digest), 2_000.0)
        self.assertEqual([], self.actions)

    def test_repairs_are_bounded(self):
        reporter = self.build(build_quarantined())
        for number in range(1_000):
            reporter.handle_hello(self.hello(0), 2_000.0 + number)
        self.assertLessEqual(len(self.actions), 2.0 * MAX_REPAIRS_PER_S)

    def test_a_peer_that_refuses_an_answered_request_is_told_of_the_answer(self):
        """Guards against a refusal that comes back from an instance that missed the answer."""
        tracker = CrashTracker()
        tracker.record_answered(REQUEST, 5_000.0)
        reporter = self.build(tracker)
        report = build_quarantined().report(REQUEST, 5_100.0)
        reporter.handle_reports(FAR, CrashReports(5_100.0, (report,)), 5_100.0)
        (outgoing,) = self.actions
        self.assertEqual(100, outgoing.message.reports[0].answered_age_ms)

    def test_a_peer_that_suspects_a_popular_request_is_told_of_its_answer(self):
        """Guards against an instance that never had a popular request and blames it for a crash."""
        tracker = CrashTracker()
        tracker.record_answered(REQUEST, 0.0)
        reporter = self.build(tracker)
        report = CrashReport(REQUEST, (LostProcess(1, 900, 890, is_silent=True),))
        reporter.handle_reports(FAR, CrashReports(5_000.0, (report,)), 5_000.0)
        (outgoing,) = self.actions
        self.assertEqual(5_000, outgoing.message.reports[0].answered_age_ms)


class StartTests(TestCase):
    def build(self, **settings) -> ForwarderHarness:
        harness = ForwarderHarness(build_settings(**settings))
        configuration = build_configuration(build_route())
        harness.handle(build_updates(configuration, build_record("reader-1")))
        return harness

    def test_a_new_instance_is_ready_once_a_peer_has_told_what_the_fleet_knows(self):
        """Guards against a refused request that is sent by each instance which has just started."""
        harness = self.build(seeds=("10.2.0.1:1",))
        self.assertFalse(harness.forwarder.is_ready)
        contact = PeerContact(FAR, "10.2.0.1:1", "midden-a")
        harness.handle(PeerMessageReceived(FAR, Hello(contact, 1, 1, True, 0.0)))
        self.assertTrue(harness.forwarder.is_ready)

    def test_a_new_instance_without_peers_does_not_wait_long(self):
        """Guards against a fleet that starts at once, or seeds that are gone."""
        harness = self.build(seeds=("10.2.0.1:1",))
        harness.run_until(INFORMED_AFTER_MS)
        self.assertTrue(harness.forwarder.is_ready)
        self.assertTrue(self.build(seeds=()).forwarder.is_ready)
