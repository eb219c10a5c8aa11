"""Define the coverage that is reported with an answer."""

from dataclasses import dataclass

from geraniumlead.requests.missing_shard import MissingShard


@dataclass(slots=True, frozen=True)
class Coverage:
    """Count the shards asked and answered of one index version."""

    asked_shards: int
    answered_shards: int
    missing: tuple[MissingShard, ...] = ()

    @property
    def share(self) -> float:
        """Return answered over asked shards, from 0 to 1."""
        return self.answered_shards / self.asked_shards

    @property
    def is_whole(self) -> bool:
        """Return whether every shard answered."""
        return self.answered_shards == self.asked_shards
