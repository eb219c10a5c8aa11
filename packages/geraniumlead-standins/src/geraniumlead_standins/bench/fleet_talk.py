"""Measure what the instances of a fleet on the users' platform say to each other.

    python -m geraniumlead_standins.bench.fleet_talk --instances 6 85 300

All instances start at the same moment and talk in virtual time, with all messages delivered at
once. The table tells bytes and messages of one instance a second, after the start and later, and
how much of the fleet each knows.
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
SEEDS = 3
START_SECONDS = 5
STEADY_SECONDS = 20
HEADER_BYTES = 100
"""Of TCP, IP and ZeroMQ, and of the acknowledgement, for each message."""


@dataclass(slots=True)
class TalkRow:
    """Hold the figures of one instance in one span of time, in the mean over the fleet."""

    bytes_per_s: float
    far_bytes_per_s: float
    messages_per_s: float
    least_counted: int
    most_counted: int


class TalkingFleet:
    """Hold the directories of all instances, and pass their letters on."""

    def __init__(self, count: int, seed: int) -> None:
        self._now_ms = 0.0
        self._sent_bytes = self._far_bytes = self._messages = 0
        places = REGIONS * DATA_CENTRES_PER_REGION
        regions = {f"dc-{n}": f"region-{n // DATA_CENTRES_PER_REGION}" for n in range(places)}
        contacts = [
            PeerContact(
                f"entry-dc-{n % places}-{n}", f"10.{n // 250}.0.{n % 250}:7380", f"dc-{n % places}"
            )
            for n in range(count)
        ]
        seeds = tuple(contact.address for contact in contacts[:SEEDS])
        self._regions = {c.address: regions[c.data_centre] for c in contacts}
        self._members = {
            contact.address: PeerDirectory(
                contact, seeds, number, Random(f"{seed}/{number}"), 0.0, regions
            )
            for number, contact in enumerate(contacts)
        }

    def run(self, seconds: float) -> TalkRow:
        """Let time pass; return what was said in it."""
        self._sent_bytes = self._far_bytes = self._messages = 0
        until_ms = self._now_ms + seconds * 1000.0
        while self._now_ms < until_ms:
            self._now_ms += STEP_MS
            for address, member in self._members.items():
                self._deliver(address, member.pop_due_hellos(1, True, self._now_ms))
        counts = [member.instance_count(self._now_ms) for member in self._members.values()]
        scale = seconds * len(self._members)
        return TalkRow(
            self._sent_bytes / scale,
            self._far_bytes / scale,
            self._messages / scale,
            min(counts),
            max(counts),
        )

    def _deliver(self, sender: str, letters: list[OutgoingPeerMessage]) -> None:
        waiting = [(sender, letters)]
        while waiting:
            sender, letters = waiting.pop()
            for letter in letters:
                data = encode_peering(letter.message)
                self._note_sent(sender, letter.address, len(data) + HEADER_BYTES)
                receiver = self._members[letter.address]
                greeted = receiver.handle_hello(decode_peering(data), self._now_ms)
                answers = [receiver.create_hello(peer, 1, True, self._now_ms) for peer in greeted]
                waiting.append((letter.address, answers))

    def _note_sent(self, sender: str, receiver: str, size: int) -> None:
        self._messages += 1
        self._sent_bytes += size
        if self._regions[sender] != self._regions[receiver]:
            self._far_bytes += size


def main(argv: list[str] | None = None) -> int:
    """Print a table."""
    parser = ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--instances", type=int, nargs="+", default=[6, 85, 300])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args(argv)
    print("| instances | seconds | bytes/s | to other regions | messages/s | counted |")
    print("|---|---|---|---|---|---|")
    for count in arguments.instances:
        fleet = TalkingFleet(count, arguments.seed)
        for span, seconds in (("0 to 5", START_SECONDS), ("5 to 25", STEADY_SECONDS)):
            row = fleet.run(seconds)
            print(
                f"| {count} | {span} | {row.bytes_per_s:.0f} | {row.far_bytes_per_s:.0f} "
                f"| {row.messages_per_s:.1f} | {row.least_counted} to {row.most_counted} |",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
