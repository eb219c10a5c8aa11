"""Drive two forwarders in virtual time: one has hardly any upstreams, the other is at them."""

from core_tests.forwarding.builders import (
    build_configuration,
    build_fan_out,
    build_record,
    build_settings,
    build_updates,
)
from core_tests.forwarding.harness import ForwarderHarness
from geraniumlead.forwarding import PeerMessageReceived
from geraniumlead.peering import decode_peering, encode_peering

NEAR = "entry-noord-1"
FAR = "entry-midden-1"
NEAR_ADDRESS = "10.1.0.1:1"
FAR_ADDRESS = "10.2.0.1:1"


class InstancePair:
    """Two instances: ``near`` has one upstream of five shards in its region, ``far`` has all."""

    def __init__(self, **route_changes) -> None:
        self.near = ForwarderHarness(build_settings(NEAR, address=NEAR_ADDRESS))
        self.far = ForwarderHarness(
            build_settings(FAR, address=FAR_ADDRESS, data_centre="midden-a", seeds=(NEAR_ADDRESS,))
        )
        route = build_fan_out(shard_count=5, **route_changes)
        shards = route.services()
        records = [build_record("near", shards[0])]
        records += [build_record(f"far.{name}", name, data_centre="midden-a") for name in shards]
        self.updates = build_updates(build_configuration(route), *records)
        for harness in (self.near, self.far):
            harness.handle(self.updates)
        self.run_until(3_000.0)

    def run_until(self, until_ms: float) -> None:
        """Advance both, and deliver their messages each 50 ms."""
        while self.near.now_ms < until_ms:
            self.advance(50.0)
            self.deliver()

    def advance(self, time_ms: float) -> None:
        """Advance both without delivering any message."""
        for harness in (self.near, self.far):
            harness.run_until(harness.now_ms + time_ms)

    def deliver(self) -> None:
        """Deliver all messages, encoded and decoded by the codec."""
        by_address = {NEAR_ADDRESS: self.near, FAR_ADDRESS: self.far}
        while self.near.outgoing or self.far.outgoing:
            for sender_id, harness in ((NEAR, self.near), (FAR, self.far)):
                messages, harness.outgoing = harness.outgoing, []
                for outgoing in messages:
                    message = decode_peering(encode_peering(outgoing.message))
                    by_address[outgoing.address].handle(PeerMessageReceived(sender_id, message))

    def deliver_from(self, harness: ForwarderHarness) -> None:
        """Deliver the messages that one instance has sent, but no responses to them."""
        is_near = harness is self.near
        receiver = self.far if is_near else self.near
        messages, harness.outgoing = harness.outgoing, []
        for outgoing in messages:
            message = decode_peering(encode_peering(outgoing.message))
            receiver.handle(PeerMessageReceived(NEAR if is_near else FAR, message))

    def find_messages(self, harness: ForwarderHarness, kind: type) -> list:
        """Return the messages of a kind that an instance has sent and that are not delivered."""
        return [outgoing for outgoing in harness.outgoing if isinstance(outgoing.message, kind)]
