from collections.abc import Iterable
from random import Random


class HeartbeatRotation:
    """A rotation over a group of peers, with a bounded number of peers for each heartbeat.

    Load pattern: heartbeats to all peers would cost each of 2,500 instances 5,000 messages a
    second, more than a core. A shuffled order reaches each peer once in a round, so no two
    heartbeats of a round go to the same peer, and updates spread as by random gossip.
    """

    __slots__ = ("_names", "_peers_per_heartbeat", "_remaining_names")

    def __init__(self, peers_per_heartbeat: int) -> None:
        self._peers_per_heartbeat = peers_per_heartbeat
        self._names: tuple[str, ...] = ()
        self._remaining_names: list[str] = []

    @property
    def reaches_all(self) -> bool:
        """Return whether every heartbeat goes to every peer of the group."""
        return len(self._names) <= self._peers_per_heartbeat

    def update(self, names: Iterable[str]) -> None:
        """Replace the group; start a new round if it has changed."""
        names = tuple(names)
        if names != self._names:
            self._names = names
            self._remaining_names = []

    def resize(self, peers_per_heartbeat: int) -> None:
        """Change the number of peers that each heartbeat goes to."""
        self._peers_per_heartbeat = peers_per_heartbeat

    def next_targets(self, random: Random) -> list[str]:
        """Return the peers that the next heartbeat goes to."""
        if self.reaches_all:
            return list(self._names)
        if len(self._remaining_names) < self._peers_per_heartbeat:
            self._remaining_names = random.sample(self._names, len(self._names))
        targets, self._remaining_names = (
            self._remaining_names[: self._peers_per_heartbeat],
            self._remaining_names[self._peers_per_heartbeat :],
        )
        return targets
