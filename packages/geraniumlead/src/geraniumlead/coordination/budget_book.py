"""Keep the budgets of extra subqueries by class."""

from geraniumlead.coordination.open_query import OpenQuery
from geraniumlead.coordination.retry_budget import RetryBudget


class BudgetBook:
    """Hold a budget for retries and one for hedges for each class of each contract."""

    __slots__ = ("_hedges", "_retries")

    def __init__(self) -> None:
        self._retries: dict[tuple[str, str], RetryBudget] = {}
        self._hedges: dict[tuple[str, str], RetryBudget] = {}

    def earn(self, query: OpenQuery) -> None:
        """Add what the first subqueries of a query allow."""
        self.retries_of(query).earn(len(query.shards))
        self.hedges_of(query).earn(len(query.shards))

    def retries_of(self, query: OpenQuery) -> RetryBudget:
        """Return the budget for asking again after a failure."""
        return _find(self._retries, query, query.traffic_class.retry_share)

    def hedges_of(self, query: OpenQuery) -> RetryBudget:
        """Return the budget for asking a second replica while the first is late."""
        return _find(self._hedges, query, query.traffic_class.hedge_share)


def _find(
    budgets: dict[tuple[str, str], RetryBudget], query: OpenQuery, share: float
) -> RetryBudget:
    name = (query.request.customer, query.request.class_name)
    budget = budgets.get(name)
    if budget is None or budget.share != share:
        budget = budgets[name] = RetryBudget(share)
    return budget
