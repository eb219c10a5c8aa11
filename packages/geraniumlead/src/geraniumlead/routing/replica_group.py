from dataclasses import dataclass

from geraniumlead.routing.replica import Replica


@dataclass(slots=True, frozen=True)
class ReplicaGroup:
    """The usable replicas of a shard in tiers: own data centre, own region, elsewhere."""

    tiers: tuple[tuple[Replica, ...], ...]

    @property
    def replicas(self) -> tuple[Replica, ...]:
        """Return all replicas, nearest first."""
        return tuple(replica for tier in self.tiers for replica in tier)
