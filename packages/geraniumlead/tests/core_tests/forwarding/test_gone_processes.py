"""Test each kind of message that comes late from, or for, a process that is gone."""

from unittest import TestCase

from msgspec.structs import replace

from core_tests.forwarding.builders import build_answer
from core_tests.forwarding.instance_pair import FAR, NEAR, InstancePair
from geraniumlead.forwarding import HandleStoreMessage, PeerMessageReceived
from geraniumlead.peering import (
    CrashReport,
    CrashReports,
    DelegatedReply,
    DelegatedRequest,
    DelegationAcknowledged,
    DelegationCancelled,
    DelegationHedged,
    Envelope,
    Goodbye,
    Hello,
    StateRequest,
    StoreUpdates,
)

HIGH = bytes([9]) * 16
FOREIGN = bytes([8]) * 16
LATE_MS = 1_500.0
UNHEARD_PROCESS = 77
REBOOTED_CLOCK_MS = 500.0


class GoneProcessTests(TestCase):
    def setUp(self):
        self.pair = InstancePair()

    def run_for(self, time_ms: float) -> None:
        self.pair.run_until(self.pair.near.now_ms + time_ms)

    def restart_far(self) -> tuple[int, Hello]:
        """Restart the far instance; return its earlier process and a hello of it that is late."""
        gone = self.pair.far
        gone.run_until(gone.now_ms + 1_000.0)
        (outgoing,) = self.pair.find_messages(gone, Hello)
        self.pair.restart_far()
        self.run_for(LATE_MS)
        return gone.forwarder.incarnation, outgoing.message

    def restart_near(self) -> int:
        """Restart the near instance; return its earlier process."""
        gone = self.pair.near.forwarder.incarnation
        self.pair.restart_near()
        self.run_for(LATE_MS)
        return gone

    def envelope_of(self, sender: int) -> Envelope:
        """Return the envelope of a message of a far process to the present near one."""
        return Envelope(sender, self.pair.near.forwarder.incarnation)

    def ask(self, key: int = 1, **changes) -> DelegatedRequest:
        """Send a query to the near instance; return what it asks the far one."""
        self.pair.near.ask(key, **changes)
        found = self.pair.find_messages(self.pair.near, DelegatedRequest)
        self.assertEqual(1, len(found), "the query was not delegated")
        return found[0].message

    def assert_answered(self, key: int = 1) -> None:
        """Let all upstreams answer; check that the caller gets the answers of all five."""
        self.pair.deliver()
        self.assertEqual(4, len(self.pair.far.started))
        self.assertEqual([], self.pair.far.cancelled)
        for harness in (self.pair.far, self.pair.near):
            for attempt in harness.started:
                service = attempt.upstream.service
                harness.end(attempt, build_answer(HIGH, signature=service))
            self.pair.deliver()
        reply = self.pair.near.replies[key]
        self.assertEqual({f"shard-{number}" for number in range(5)}, set(reply.signatures))
        self.assertEqual(3 * HIGH, reply.records)

    def test_a_late_hello_does_not_turn_a_peer_back(self):
        """Guards against a hello of a gone process that makes its successor count as not ready."""
        gone, hello = self.restart_far()
        late = Hello(hello.contact, gone, 1, False, hello.sent_ms)
        self.pair.receive(self.pair.near, FAR, late, self.envelope_of(gone))
        self.ask()
        self.assert_answered()

    def test_a_late_goodbye_does_not_take_a_returned_peer_out_of_use(self):
        """Guards against a goodbye of a gone process that is taken for one of its successor."""
        gone, _ = self.restart_far()
        self.pair.receive(self.pair.near, FAR, Goodbye(gone), self.envelope_of(gone))
        self.ask()
        self.assert_answered()

    def test_a_late_goodbye_does_not_undo_a_later_one(self):
        """Guards against requests to a peer that stops, since its earlier process had stopped."""
        gone, _ = self.restart_far()
        present = self.pair.far.forwarder.incarnation
        for leaving in (present, gone):
            goodbye = Goodbye(leaving)
            self.pair.receive(self.pair.near, FAR, goodbye, self.envelope_of(leaving))
        self.assertEqual(5, len(self.pair.near.ask()))

    def test_a_late_cancellation_does_not_cancel_the_request_of_a_new_process(self):
        """Guards against a cancelled request of a gone process whose number is in use again."""
        gone = self.restart_near()
        message = self.ask()
        self.pair.deliver()
        for change in (DelegationCancelled(message.number), DelegationHedged(message.number)):
            envelope = Envelope(gone, self.pair.far.forwarder.incarnation)
            self.pair.receive(self.pair.far, NEAR, change, envelope)
        self.assert_answered()

    def test_a_late_reply_or_acknowledgement_does_not_settle_a_new_request(self):
        """Guards against another request's data, and a wait for a peer that has not answered."""
        gone = self.restart_near()
        message = self.ask()
        foreign = tuple((position, f"other-{position}") for position in range(4))
        for late in (
            DelegationAcknowledged(message.number, self.pair.far.now_ms),
            DelegatedReply(message.number, False, foreign, FOREIGN),
        ):
            envelope = Envelope(self.pair.far.forwarder.incarnation, gone)
            self.pair.receive(self.pair.near, FAR, late, envelope)
        self.assert_answered()

    def test_a_reply_of_a_peer_that_was_not_asked_settles_nothing(self):
        """Guards against a reply that reaches the wrong instance, which has the same number."""
        message = self.ask()
        foreign = DelegatedReply(message.number, False, ((0, "other-0"),), FOREIGN)
        self.pair.receive(self.pair.near, "entry-zuid-1", foreign, Envelope())
        self.assert_answered()

    def test_a_request_of_a_gone_process_is_not_served(self):
        """Guards against upstreams that work for a process that nobody can get an answer of."""
        outgoing = self.ask()
        gone = self.pair.near.forwarder.incarnation
        self.pair.near.outgoing.clear()
        self.restart_near()
        envelope = Envelope(gone, self.pair.far.forwarder.incarnation)
        self.pair.receive(self.pair.far, NEAR, outgoing, envelope)
        self.assertEqual([], self.pair.far.started)

    def test_work_for_a_process_ends_when_its_successor_is_heard_of(self):
        """Guards against upstreams that go on until the deadline of a caller who has long left."""
        self.ask(wait_ms=2_000.0)
        self.pair.deliver()
        self.assertEqual(4, len(self.pair.far.started))
        self.pair.restart_near()
        self.run_for(1_200.0)
        self.assertEqual(4, len(self.pair.far.cancelled))

    def test_a_request_that_comes_twice_runs_once(self):
        """Guards against a copy of a request that replaces the first, which then never ends."""
        message = self.ask()
        self.pair.deliver()
        envelope = Envelope(
            self.pair.near.forwarder.incarnation, self.pair.far.forwarder.incarnation
        )
        self.pair.receive(self.pair.far, NEAR, message, envelope)
        self.assert_answered()

    def test_a_number_that_an_older_peer_gives_again_is_the_request_of_its_new_process(self):
        """Guards against a request that is taken for a copy, and one that is answered twice."""
        older = Envelope()
        first = replace(self.ask(), number=5, request_id="gone")
        second = replace(first, request_id="request-1")
        for message in (first, second):
            self.pair.receive(self.pair.far, NEAR, message, older)
        ids = [attempt.request.request_id for attempt in self.pair.far.started]
        self.assertEqual(4 * ["gone"] + 4 * ["request-1"], ids)
        self.assertEqual(4, len(self.pair.far.cancelled))
        for attempt in self.pair.far.started[4:]:
            self.pair.far.end(attempt, build_answer(HIGH, signature=attempt.upstream.service))
        replies = self.pair.find_messages(self.pair.far, DelegatedReply)
        self.assertEqual([5], [reply.message.number for reply in replies])

    def test_a_request_that_ends_on_another_clock_is_declined(self):
        """Guards against a request that was held up while its receiver's machine restarted.

        Its end is a time of the clock before the restart, so it seemed to have all its time left.
        """
        message = self.ask()
        self.pair.near.outgoing.clear()
        self.pair.restart_far(REBOOTED_CLOCK_MS)
        self.pair.far.run_until(2.0 * REBOOTED_CLOCK_MS)
        self.assertTrue(self.pair.far.forwarder.is_ready)
        envelope = Envelope(self.pair.near.forwarder.incarnation, 0)
        self.pair.receive(self.pair.far, NEAR, message, envelope)
        self.assertEqual([], self.pair.far.started)
        (reply,) = self.pair.find_messages(self.pair.far, DelegatedReply)
        self.assertTrue(reply.message.is_declined)

    def test_a_process_that_is_heard_of_late_is_believed_again(self):
        """Guards against a live peer whose messages are ignored for good.

        The first message that comes is of its earlier process, which nobody here had heard of, but
        later than one of the live process.
        """
        gone_hello = Hello(self.hello_of_far().contact, UNHEARD_PROCESS, 1, True, 0.0)
        self.pair.receive(self.pair.near, FAR, gone_hello, self.envelope_of(UNHEARD_PROCESS))
        self.run_for(3_000.0)
        self.ask()
        self.assert_answered()

    def hello_of_far(self) -> Hello:
        self.pair.far.run_until(self.pair.far.now_ms + 1_000.0)
        return self.pair.find_messages(self.pair.far, Hello)[0].message

    def test_an_echo_for_an_earlier_process_is_no_measure_of_the_way(self):
        """Guards against a delay that is computed from the clock before a machine restarted.

        It was 0, so that each request waited too briefly for its acknowledgement.
        """
        hello = self.hello_of_far()
        gone = self.pair.near.forwarder.incarnation
        self.pair.restart_near(REBOOTED_CLOCK_MS)
        self.pair.near.outgoing.clear()
        envelope = Envelope(self.pair.far.forwarder.incarnation, gone)
        self.assertIsNotNone(hello.echo_ms)
        self.pair.receive(self.pair.near, FAR, hello, envelope)
        (peer,) = self.pair.near.forwarder._peers.directory.live(self.pair.near.now_ms)
        self.assertIsNone(peer.one_way_delay_ms)

    def test_a_peer_that_takes_a_new_process_for_the_earlier_one_gets_a_hello(self):
        """Guards against messages that are dropped for as long as no heartbeat comes."""
        gone = self.restart_near()
        self.pair.near.run_until(self.pair.near.now_ms + 500.0)
        self.pair.near.outgoing.clear()
        envelope = Envelope(self.pair.far.forwarder.incarnation, gone)
        self.pair.receive(self.pair.near, FAR, StoreUpdates(1, 2), envelope)
        self.assertEqual(1, len(self.pair.find_messages(self.pair.near, Hello)))

    def store_messages(self, message, envelope: Envelope) -> int:
        event = PeerMessageReceived(FAR, message, envelope=envelope)
        near = self.pair.near
        actions = near.forwarder.handle(event, near.now_ms)
        return len([action for action in actions if isinstance(action, HandleStoreMessage)])

    def test_what_a_gone_process_read_of_the_store_is_not_aged_by_another_clock(self):
        """Guards against relayed updates that seem fresh, or old, by the clock of another start."""
        gone, _ = self.restart_far()
        present = self.pair.far.forwarder.incarnation
        near = self.pair.near.forwarder.incarnation
        self.assertEqual(1, self.store_messages(StoreUpdates(1, 2), Envelope(present, near)))
        self.assertEqual(1, self.store_messages(StoreUpdates(1, 2), Envelope()))
        self.assertEqual(0, self.store_messages(StoreUpdates(1, 2), Envelope(gone, near)))
        self.assertEqual(0, self.store_messages(StoreUpdates(1, 2), Envelope(present, 5)))
        self.assertEqual(1, self.store_messages(StateRequest(), Envelope(present, 5)))
        self.assertEqual(0, self.store_messages(StateRequest(), Envelope(gone, near)))

    def test_what_a_gone_process_knew_of_a_crashing_request_is_believed(self):
        """Guards against a request that crashes more upstreams since the one that knew is gone."""
        gone, _ = self.restart_far()
        message = self.ask()
        self.pair.near.leave(1)
        self.pair.near.outgoing.clear()
        fingerprint = self.pair.near.started[-1].request.fingerprint
        reports = CrashReports(0.0, (CrashReport(fingerprint, quarantined_age_ms=5),))
        self.pair.receive(self.pair.near, FAR, reports, self.envelope_of(gone))
        self.assertEqual([], self.pair.near.ask(2))
        self.assertEqual("crashes_upstreams", self.pair.near.replies[2].reason)
        self.assertEqual("request-1", message.request_id)
