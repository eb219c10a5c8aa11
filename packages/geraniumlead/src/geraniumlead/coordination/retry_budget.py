"""Bound the extra subqueries of one class of one contract."""

LEAST_BALANCE = 0.0
MOST_BALANCE = 50.0


class RetryBudget:
    """Let retries be a bounded share of the first subqueries.

    Load pattern: an upstream fails or sheds, and each refused subquery is sent again.
    Without a budget the retries multiply the load just when there is least capacity. The
    balance is capped so that a quiet hour cannot save up a storm.
    """

    __slots__ = ("_balance", "share")

    def __init__(self, share: float, balance: float = MOST_BALANCE) -> None:
        self.share = share
        self._balance = balance

    def earn(self, count: int) -> None:
        """Add the share that ``count`` first subqueries allow."""
        self._balance = min(MOST_BALANCE, self._balance + self.share * count)

    def give_back(self) -> None:
        """Return what was taken and not used."""
        self._balance = min(MOST_BALANCE, self._balance + 1.0)

    def spend(self) -> bool:
        """Take one extra subquery from the balance; False when it is used up."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
