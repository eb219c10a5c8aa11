"""Drive two forwarders in virtual time: one has hardly any upstreams, the other is at them."""

from core_tests.forwarding.builders import (
    build_configuration,
    build_fan_out,
    build_record,
    build_settings,
    build_updates,
)
from core_tests.forwarding.harness import ForwarderHarness
from geraniumlead.forwarding import ForwardingSettings, PeerMessageReceived
from geraniumlead.peering import Envelope, decode_peering, encode_peering

NEAR = "entry-noord-1"
FAR = "entry-midden-1"
NEAR_ADDRESS = "10.1.0.1:1"
FAR_ADDRESS = "10.2.0.1:1"


class InstancePair:
    """Two instances: ``near`` has one upstream of five shards in its region, ``far`` has all."""

    def __init__(self, **route_changes) -> None:
        self._near_settings = build_settings(NEAR, address=NEAR_ADDRESS)
        self._far_settings = build_settings(
            FAR, address=FAR_ADDRESS, data_centre="midden-a", seeds=(NEAR_ADDRESS,)
        )
        self.near = ForwarderHarness(self._near_settings)
        self.far = ForwarderHarness(self._far_settings)
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
                    envelope = harness.envelope_for(outgoing)
                    event = PeerMessageReceived(sender_id, message, envelope=envelope)
                    by_address[outgoing.address].handle(event)

    def deliver_from(self, harness: ForwarderHarness) -> None:
        """Deliver the messages that one instance has sent, but no responses to them."""
        is_near = harness is self.near
        receiver = self.far if is_near else self.near
        messages, harness.outgoing = harness.outgoing, []
        for outgoing in messages:
            message = decode_peering(encode_peering(outgoing.message))
            event = PeerMessageReceived(
                NEAR if is_near else FAR, message, envelope=harness.envelope_for(outgoing)
            )
            receiver.handle(event)

    def restart_near(self, clock_ms: float | None = None) -> None:
        """Replace the near instance by a new process; its clock starts anew with its machine."""
        self.near = self._start(self._near_settings, self.near, clock_ms)

    def restart_far(self, clock_ms: float | None = None) -> None:
        """Replace the far instance by a new process; its clock starts anew with its machine."""
        self.far = self._start(self._far_settings, self.far, clock_ms)

    def _start(
        self, settings: ForwardingSettings, gone: ForwarderHarness, clock_ms: float | None
    ) -> ForwarderHarness:
        now_ms = gone.now_ms if clock_ms is None else clock_ms
        harness = ForwarderHarness(settings, gone.forwarder.incarnation, now_ms)
        harness.handle(self.updates)
        return harness

    def receive(
        self, receiver: ForwarderHarness, sender_id: str, message, envelope: Envelope
    ) -> None:
        """Let an instance receive a message with an envelope."""
        decoded = decode_peering(encode_peering(message))
        receiver.handle(PeerMessageReceived(sender_id, decoded, envelope=envelope))

    def find_messages(self, harness: ForwarderHarness, kind: type) -> list:
        """Return the messages of a kind that an instance has sent and that are not delivered."""
        return [outgoing for outgoing in harness.outgoing if isinstance(outgoing.message, kind)]
