MIN_BALANCE = 0.0
MAX_BALANCE = 50.0


class ExtraSubqueryBudget:
    """Limits extra subqueries of a contract's traffic class to a share of its first subqueries.

    Load pattern: an upstream fails or sheds load, and each refused subquery is retried. Without a
    budget, the retries multiply the load when capacity is lowest. The balance is capped so that
    credit from a long quiet period cannot cause a retry storm. It starts empty: otherwise a fleet
    that restarts again and again would be granted the cap each time.
    """

    __slots__ = ("_balance", "share")

    def __init__(self, share: float) -> None:
        self.share = share
        self._balance = MIN_BALANCE

    def earn(self, count: int) -> None:
        """Credit the budget for ``count`` first subqueries."""
        self._balance = min(MAX_BALANCE, self._balance + self.share * count)

    def refund(self) -> None:
        """Return an unused extra subquery to the balance."""
        self._balance = min(MAX_BALANCE, self._balance + 1.0)

    def spend(self) -> bool:
        """Take one extra subquery from the balance; return False if the balance is too low."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
