"""Measure the peering messages between instances of a fleet on the users' platform.

    python -m geraniumlead_standins.bench.fleet_talk --instances 6 85 300

All instances start at the same moment and run in virtual time; messages arrive without delay. The
table shows bytes and messages per instance and second, just after the start and later, and how
many instances of the fleet each one knows.
"""

import sys
from argparse import ArgumentParser
from dataclasses import dataclass
from random import Random

from geraniumlead.peering import PeerContact, PeerDirectory, decode_peering, encode_peering
from geraniumlead.peering.outgoing_peer_message import OutgoingPeerMessage

STEP_MS = 100.0
REGIONS = 3
DATA_CENTRES_PER_REGION = 2
SEED_ADDRESSES = 3
"""Number of instances whose addresses every instance knows from the start."""

START_SECONDS = 5
STEADY_SECONDS = 20
HEADER_BYTES = 100
"""Headers of TCP, IP and ZeroMQ for one message, including the acknowledgement."""


@dataclass(slots=True)
class PeeringTraffic:
    """Messages of one instance in a time interval, as means over the fleet.

    The known instances are the minimum and the maximum over the fleet at the end.
    """

    bytes_per_s: float
    cross_region_bytes_per_s: float
    messages_per_s: float
    min_known_instances: int
    max_known_instances: int


class PeeringFleet:
    """The peer directories of all instances, which exchange messages in virtual time."""

    def __init__(self, count: int, seed: int) -> None:
        self._now_ms = 0.0
        self._sent_bytes = self._cross_region_bytes = self._messages = 0
        data_centre_count = REGIONS * DATA_CENTRES_PER_REGION
        regions = {
            f"dc-{n}": f"region-{n // DATA_CENTRES_PER_REGION}" for n in range(data_centre_count)
        }
        contacts = [
            PeerContact(
                f"entry-dc-{n % data_centre_count}-{n}",
                f"10.{n // 250}.0.{n % 250}:7380",
                f"dc-{n % data_centre_count}",
            )
            for n in range(count)
        ]
        seeds = tuple(contact.address for contact in contacts[:SEED_ADDRESSES])
        self._regions = {c.address: regions[c.data_centre] for c in contacts}
        self._members = {
            contact.address: PeerDirectory(
                contact, seeds, number, Random(f"{seed}/{number}"), 0.0, regions
            )
            for number, contact in enumerate(contacts)
        }

    def run(self, seconds: float) -> PeeringTraffic:
        """Advance the time and return the traffic in it."""
        self._sent_bytes = self._cross_region_bytes = self._messages = 0
        until_ms = self._now_ms + seconds * 1000.0
        while self._now_ms < until_ms:
            self._now_ms += STEP_MS
            for address, member in self._members.items():
                self._deliver(address, member.pop_due_hellos(1, True, self._now_ms))
        counts = [member.instance_count(self._now_ms) for member in self._members.values()]
        scale = seconds * len(self._members)
        return PeeringTraffic(
            self._sent_bytes / scale,
            self._cross_region_bytes / scale,
            self._messages / scale,
            min(counts),
            max(counts),
        )

    def _deliver(self, sender: str, outgoing: list[OutgoingPeerMessage]) -> None:
        pending = [(sender, outgoing)]
        while pending:
            sender, outgoing = pending.pop()
            for message in outgoing:
                data = encode_peering(message.message)
                self._record_sent(sender, message.address, len(data) + HEADER_BYTES)
                receiver = self._members[message.address]
                contacts_to_answer = receiver.handle_hello(decode_peering(data), self._now_ms)
                answers = [
                    receiver.create_hello(peer, 1, True, self._now_ms)
                    for peer in contacts_to_answer
                ]
                pending.append((message.address, answers))

    def _record_sent(self, sender: str, receiver: str, size: int) -> None:
        self._messages += 1
        self._sent_bytes += size
        if self._regions[sender] != self._regions[receiver]:
            self._cross_region_bytes += size


def main(argv: list[str] | None = None) -> int:
    """Print the table."""
    parser = ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--instances", type=int, nargs="+", default=[6, 85, 300])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args(argv)
    print("| instances | seconds | bytes/s | to other regions | messages/s | counted |")
    print("|---|---|---|---|---|---|")
    for count in arguments.instances:
        fleet = PeeringFleet(count, arguments.seed)
        for span, seconds in (("0 to 5", START_SECONDS), ("5 to 25", STEADY_SECONDS)):
            row = fleet.run(seconds)
            print(
                f"| {count} | {span} | {row.bytes_per_s:.0f} | {row.cross_region_bytes_per_s:.0f} "
                f"| {row.messages_per_s:.1f} "
                f"| {row.min_known_instances} to {row.max_known_instances} |",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
