from dataclasses import dataclass

LATE_SHARE = 0.1


@dataclass(slots=True)
class Credit:
    """The sum of what queries earn.

    A whole answer in time earns 1, and a partial one the square of its share of the shards. A late
    answer earns a tenth of that. One with too few shards counts as failed and earns nothing.
    """

    queries: int = 0
    earned: float = 0.0
    late: int = 0
    extra_attempts: int = 0

    @property
    def mean(self) -> float:
        """Return the mean credit of a query."""
        return self.earned / self.queries if self.queries else 0.0

    def add(self, share: float, is_late: bool) -> None:
        """Add a query that was answered with a share of its shards."""
        self.queries += 1
        self.late += is_late
        self.earned += share**2 * (LATE_SHARE if is_late else 1.0)

    def add_failed(self) -> None:
        """Add a query that failed."""
        self.queries += 1
