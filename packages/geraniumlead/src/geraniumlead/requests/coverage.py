from dataclasses import dataclass

from geraniumlead.requests.missing_shard import MissingShard


@dataclass(slots=True, frozen=True)
class Coverage:
    """The numbers of queried and answered shards of one index version, reported with an answer."""

    asked_shards: int
    answered_shards: int
    missing: tuple[MissingShard, ...] = ()

    @property
    def share(self) -> float:
        """Return the share of queried shards that answered, from 0 to 1."""
        return self.answered_shards / self.asked_shards

    @property
    def is_whole(self) -> bool:
        """Return whether every queried shard answered."""
        return self.answered_shards == self.asked_shards
