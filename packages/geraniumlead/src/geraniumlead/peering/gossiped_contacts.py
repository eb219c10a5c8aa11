from heapq import nlargest
from math import ceil, log2

CONTACTS_PER_MESSAGE = 4
"""Largest number of gossiped contacts in one message, some 50 bytes each."""

GOSSIP_ROUNDS = 3
"""A name is sent in GOSSIP_ROUNDS * log2(size of the fleet) messages; then all instances but one
in thousands know it."""


class GossipedContacts:
    """The names of new instances that are still sent by gossip, and how often each.

    Load pattern: one instance joins a fleet of thousands, or all start at once. If a new
    instance announced itself to all others, it would send a message to each of them. By gossip
    the number of instances that know it multiplies in each round, and the gossip ends by itself.
    """

    __slots__ = ("_remaining_sends",)

    def __init__(self) -> None:
        self._remaining_sends: dict[str, int] = {}

    def add(self, name: str, fleet_size: int) -> None:
        """Start to send a name."""
        self._remaining_sends[name] = GOSSIP_ROUNDS * ceil(log2(fleet_size + 2))

    def remove(self, name: str) -> None:
        """Stop sending a name."""
        self._remaining_sends.pop(name, None)

    def next_names(self) -> list[str]:
        """Return the names for the next message: those with the most sends left."""
        names = nlargest(
            CONTACTS_PER_MESSAGE, self._remaining_sends, key=self._remaining_sends.__getitem__
        )
        for name in names:
            self._remaining_sends[name] -= 1
            if not self._remaining_sends[name]:
                del self._remaining_sends[name]
        return names
