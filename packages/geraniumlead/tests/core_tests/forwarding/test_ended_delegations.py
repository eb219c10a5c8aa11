"""Test messages of delegated requests that come after the request has ended."""

from unittest import TestCase

from msgspec.structs import replace

from core_tests.forwarding.builders import build_answer, build_configuration, build_fan_out
from core_tests.forwarding.instance_pair import NEAR, InstancePair
from geraniumlead.forwarding import PeerMessageReceived
from geraniumlead.peering import DelegatedRequest, DelegationCancelled


class EndedDelegationTests(TestCase):
    def setUp(self):
        self.pair = InstancePair()
        self.near, self.far = self.pair.near, self.pair.far
        self.near.ask()
        (outgoing,) = self.pair.find_messages(self.near, DelegatedRequest)
        self.request = outgoing.message
        self.envelope = self.near.envelope_for(outgoing)

    def receive_request(self) -> None:
        self.pair.receive(self.far, NEAR, self.request, self.envelope)

    def dropped(self) -> list[str]:
        return [
            line.fields["reason"] for line in self.far.logged if line.name == "peer_message_dropped"
        ]

    def test_a_request_that_comes_after_its_cancellation_is_not_served(self):
        """Guards against upstreams that work for a caller who left while a message was held up."""
        cancelled = DelegationCancelled(self.request.number)
        self.pair.receive(self.far, NEAR, cancelled, self.envelope)
        self.receive_request()
        self.assertEqual([], self.far.started)
        self.assertEqual(["ended"], self.dropped())

    def test_a_request_that_comes_again_after_the_reply_is_not_served_again(self):
        """Guards against a shard that is sent to more upstreams by each copy of a message."""
        self.pair.deliver()
        for started in list(self.far.started):
            self.far.end(started, build_answer(bytes(16), signature=started.upstream.service))
        self.receive_request()
        self.assertEqual(4, len(self.far.started))
        self.assertEqual(["ended"], self.dropped())

    def test_a_request_that_comes_again_after_it_was_declined_is_not_served(self):
        """Guards against shards that both instances send, since the first copy was declined."""
        older = build_configuration(build_fan_out(shard_count=5), version=0)
        newest = self.far.forwarder.published.configuration
        self.far.forwarder.published.configuration = older
        self.receive_request()
        self.far.forwarder.published.configuration = newest
        self.receive_request()
        self.assertEqual([], self.far.started)
        self.assertEqual(["ended"], self.dropped())

    def test_a_number_that_an_earlier_process_had_given_is_served(self):
        """Guards against a peer without incarnations whose requests are dropped after a restart."""
        self.pair.deliver()
        for started in list(self.far.started):
            self.far.end(started, build_answer(bytes(16), signature=started.upstream.service))
        again = replace(self.request, request_id="another")
        self.far.handle(PeerMessageReceived(NEAR, again, envelope=self.envelope))
        self.assertEqual(8, len(self.far.started))
