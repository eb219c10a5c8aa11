from geraniumlead.coordination.extra_subquery_budget import ExtraSubqueryBudget
from geraniumlead.coordination.open_query import OpenQuery


class BudgetRegistry:
    """A registry of budgets for retries and for hedges, by class of each contract."""

    __slots__ = ("_hedges", "_retries")

    def __init__(self) -> None:
        self._retries: dict[tuple[str, str], ExtraSubqueryBudget] = {}
        self._hedges: dict[tuple[str, str], ExtraSubqueryBudget] = {}

    def earn(self, query: OpenQuery) -> None:
        """Credit both budgets for the first subqueries of a query."""
        self.retries_of(query).earn(len(query.shards))
        self.hedges_of(query).earn(len(query.shards))

    def retries_of(self, query: OpenQuery) -> ExtraSubqueryBudget:
        """Return the budget for retries after a failure."""
        return _find(self._retries, query, query.traffic_class.retry_share)

    def hedges_of(self, query: OpenQuery) -> ExtraSubqueryBudget:
        """Return the budget for hedges, sent to a second replica while the first is late."""
        return _find(self._hedges, query, query.traffic_class.hedge_share)


def _find(
    budgets: dict[tuple[str, str], ExtraSubqueryBudget], query: OpenQuery, share: float
) -> ExtraSubqueryBudget:
    name = (query.request.customer, query.request.class_name)
    budget = budgets.get(name)
    if budget is None:
        budget = budgets[name] = ExtraSubqueryBudget(share)
    budget.share = share
    return budget
