"""Test that no attempt is handed more time than its caller has left, whoever passes it on."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_fan_out,
    build_record,
    build_route,
    build_updates,
)
from core_tests.forwarding.harness import ForwarderHarness
from core_tests.forwarding.instance_pair import FAR, NEAR, InstancePair
from geraniumlead.clocks import ClockOffset
from geraniumlead.forwarding import NotSent, PeerMessageReceived, PossiblyExecuted
from geraniumlead.peering import DelegatedReply, DelegatedRequest, DelegationCancelled

HOPELESS_MS = (0.0, 7.0, 15.0)


class AtTheCallersInstanceTests(TestCase):
    def build(self, **changes) -> ForwarderHarness:
        route = build_fan_out(shard_count=4, **changes)
        harness = ForwarderHarness()
        records = [build_record(f"{name}.{n}", name) for name in route.services() for n in (1, 2)]
        harness.handle(build_updates(build_configuration(route), *records))
        return harness

    def test_a_caller_without_time_is_refused_before_anything_is_sent(self):
        """Guards against a fan-out for a caller who is gone before any upstream can answer.

        A wait of 0 was taken for an absent one, and became the whole timeout of the route.
        """
        for wait_ms in HOPELESS_MS:
            with self.subTest(wait_ms=wait_ms):
                harness = self.build()
                harness.ask(wait_ms=wait_ms)
                self.assertEqual([], harness.started)
                self.assertEqual(503, harness.replies[1].status)

    def test_a_request_that_waited_in_a_socket_gets_what_is_left(self):
        """Guards against a busy or stopped instance that gives its callers' waits once more.

        A caller waits one second, and its request is read after most of it, or all.
        """
        for waited_ms, attempts in ((700.0, 4), (990.0, 0), (1_500.0, 0), (3_000.0, 0)):
            with self.subTest(waited_ms=waited_ms):
                harness = self.build()
                harness.ask(wait_ms=1_000.0, waited_ms=waited_ms)
                self.assertEqual(attempts, len(harness.started))
                left_ms = 1_000.0 - waited_ms
                self.assertEqual([], [ms for ms in harness.handed_ms() if ms > left_ms])

    def test_the_goal_counts_from_when_the_request_came(self):
        """Half of the shards answer, which is enough after the goal of 300 ms."""
        harness = self.build()
        attempts = harness.ask(wait_ms=1_000.0, waited_ms=400.0)
        for attempt in attempts[:2]:
            harness.end(attempt, build_answer(signature=attempt.upstream.service))
        self.assertEqual(2, harness.replies[1].missing)

    def test_a_request_is_refused_by_what_its_upstreams_need(self):
        """All upstreams take 100 ms, so a caller with 80 ms left can get no answer.

        Each of its subrequests would be worked on for nothing; with 200 ms left it is served.
        """
        harness = self.build()
        for key in range(1, 21):
            attempts = harness.ask(key)
            harness.run_until(harness.now_ms + 100.0)
            for attempt in attempts:
                harness.end(attempt, build_answer(signature=attempt.upstream.service))
        self.assertEqual([], harness.ask(50, wait_ms=80.0))
        self.assertEqual(503, harness.replies[50].status)
        self.assertEqual(4, len(harness.ask(51, wait_ms=200.0)))

    def test_an_attempt_that_was_not_written_in_time_promises_that_nothing_ran(self):
        """A booking waits for its connection until its caller's time is over."""
        harness = ForwarderHarness()
        configuration = build_configuration(build_route(is_idempotent=False))
        harness.handle(build_updates(configuration, build_record("reader-1")))
        (attempt,) = harness.ask(wait_ms=100.0)
        harness.now_ms = 79.5
        self.assertEqual([], harness.end(attempt, NotSent()))
        self.assertEqual(503, harness.replies[1].status)

    def test_a_failed_attempt_is_not_repeated_without_time(self):
        harness = self.build()
        first, *_ = harness.ask(wait_ms=100.0)
        harness.run_until(79.0)
        self.assertEqual([], harness.end(first, PossiblyExecuted("reset")))

    def test_a_request_without_a_stated_wait_gets_the_timeout_of_its_route(self):
        harness = self.build(timeout_ms=2_000.0)
        harness.ask(wait_ms=None)
        self.assertEqual(4, len(harness.started))
        for handed_ms in harness.handed_ms():
            self.assertAlmostEqual(2_000.0, handed_ms, delta=30.0)


class AtAPeerTests(TestCase):
    """The near instance delegates four shards to the far one, and the message is held up."""

    def setUp(self):
        self.pair = InstancePair()
        self.near, self.far = self.pair.near, self.pair.far

    def deliver_request(self) -> None:
        """Deliver the delegated request alone; what the near instance sent after it is lost."""
        (outgoing,) = self.pair.find_messages(self.near, DelegatedRequest)
        self.near.outgoing.clear()
        self.far.handle(PeerMessageReceived(NEAR, outgoing.message))

    def test_a_request_that_was_held_up_gets_what_is_left(self):
        """Guards against a wait between two instances that is given to upstreams once more.

        A cut of the network, or a peer that stands still, holds the message back. Its cancellation
        is lost, or its sender is dead, so nothing else stops the peer.
        """
        for held_ms, wait_ms in ((1_500.0, 1_000.0), (3_000.0, 1_000.0), (400.0, 1_000.0)):
            with self.subTest(held_ms=held_ms):
                self.setUp()
                self.near.ask(wait_ms=wait_ms)
                self.pair.advance(held_ms)
                self.deliver_request()
                left_ms = wait_ms - held_ms
                self.assertEqual([], [ms for ms in self.far.handed_ms() if ms > left_ms])

    def test_a_request_that_is_over_is_declined_at_once(self):
        """Guards against a peer that neither answers nor declines what it cannot do in time."""
        self.near.ask(wait_ms=1_000.0)
        self.pair.advance(1_500.0)
        self.far.outgoing.clear()
        self.deliver_request()
        self.assertEqual([], self.far.started)
        (reply,) = self.pair.find_messages(self.far, DelegatedReply)
        self.assertTrue(reply.message.is_declined)

    def test_a_first_request_between_two_instances_is_judged_by_the_time_of_day(self):
        """Guards against the first message between two instances, whose clocks are not compared.

        In a fleet of hundreds two in five requests are such first ones in its first seconds.
        """
        for way_ms, attempts in ((30.0, 4), (200.0, 4), (-2_000.0, 4), (1_500.0, 0), (3_000.0, 0)):
            with self.subTest(way_ms=way_ms):
                self.setUp()
                self.near.forwarder._peers.directory.peers[FAR].clock_offset = ClockOffset()
                self.near.ask(wait_ms=1_000.0)
                (outgoing,) = self.pair.find_messages(self.near, DelegatedRequest)
                self.assertIsNone(outgoing.message.end_ms)
                self.far.handle(PeerMessageReceived(NEAR, outgoing.message, way_ms))
                self.assertEqual(attempts, len(self.far.started))

    def test_a_declined_first_request_tells_the_clock(self):
        """The times of day differ by seconds, and the next request is judged by the clocks."""
        self.near.forwarder._peers.directory.peers[FAR].clock_offset = ClockOffset()
        self.near.ask(wait_ms=1_000.0)
        (outgoing,) = self.pair.find_messages(self.near, DelegatedRequest)
        self.far.handle(PeerMessageReceived(NEAR, outgoing.message, way_ms=4_000.0))
        self.pair.deliver()
        self.near.run_until(self.near.now_ms + 1_100.0)
        self.near.ask(2, wait_ms=1_000.0)
        (outgoing,) = self.pair.find_messages(self.near, DelegatedRequest)
        self.assertIsNotNone(outgoing.message.end_ms)

    def test_a_peer_is_not_asked_for_what_it_cannot_answer_in_time(self):
        """Guards against a delegated request whose time is over when it arrives.

        Its 0 ms were taken for an absent wait, and became the whole timeout of the route.
        """
        for wait_ms in (*HOPELESS_MS, 21.0, 25.0, 60.0):
            with self.subTest(wait_ms=wait_ms):
                self.setUp()
                self.near.ask(wait_ms=wait_ms)
                self.pair.deliver()
                self.assertEqual([], [ms for ms in self.far.handed_ms() if ms > wait_ms])

    def publish_timeout(self, timeout_ms: float, *instances: ForwarderHarness) -> None:
        """Publish a version in which the route has another timeout to some instances."""
        route = build_fan_out(shard_count=5, timeout_ms=timeout_ms)
        updates = build_updates(build_configuration(route, version=2), is_snapshot=False)
        for harness in instances:
            harness.handle(updates)

    def test_a_late_try_beside_a_new_timeout_is_not_given_the_timeout(self):
        """Guards against a late try that gets its route's whole timeout at a peer.

        A caller's last try has 25 ms left, a part of its query is at a peer, and the timeout of
        the route was changed shortly before, at both instances or at one of them.
        """
        for wait_ms in (9.0, 25.0, 45.0):
            for knowing in ("both", "near", "far"):
                with self.subTest(wait_ms=wait_ms, knowing=knowing):
                    self.setUp()
                    instances = {"near": [self.near], "far": [self.far]}
                    known = instances.get(knowing, [self.near, self.far])
                    self.publish_timeout(567.0, *known)
                    self.pair.advance(50.0)
                    self.near.ask(1, wait_ms=wait_ms)
                    for _ in range(20):
                        self.pair.deliver()
                        handed_ms = self.near.handed_ms() + self.far.handed_ms()
                        self.assertEqual([], [ms for ms in handed_ms if ms > wait_ms])
                        self.pair.advance(5.0)

    def test_a_part_that_comes_back_from_a_peer_gets_what_is_left(self):
        """Guards against a declined or silent peer's part that is begun anew with a whole wait."""
        for is_declined in (True, False):
            with self.subTest(is_declined=is_declined):
                self.setUp()
                self.near.ask(1, wait_ms=300.0)
                (outgoing,) = self.pair.find_messages(self.near, DelegatedRequest)
                self.pair.advance(200.0)
                if is_declined:
                    reply = DelegatedReply(outgoing.message.number, is_declined=True)
                    self.near.handle(PeerMessageReceived(FAR, reply))
                self.pair.advance(20.0)
                self.assertGreater(len(self.near.started), 1)
                self.assertEqual([], [ms for ms in self.near.handed_ms() if ms > 100.0])

    def test_work_at_a_peer_ends_with_the_request_if_its_cancellation_is_lost(self):
        self.near.ask(wait_ms=1_000.0)
        self.pair.deliver()
        self.near.leave(1)
        self.assertEqual(1, len(self.pair.find_messages(self.near, DelegationCancelled)))
        self.near.outgoing.clear()
        self.assertEqual(4, len(self.far.started))
        self.far.run_until(self.far.now_ms + 1_000.0)
        self.assertEqual(4, len(self.far.cancelled))
        self.assertEqual(4, len(self.far.started))
