from unittest import TestCase

from geraniumlead.coordination.extra_subquery_budget import MAX_BALANCE, ExtraSubqueryBudget


class ExtraSubqueryBudgetTests(TestCase):
    def spend_all(self, budget: ExtraSubqueryBudget) -> int:
        spent = 0
        while budget.spend():
            spent += 1
        return spent

    def test_processes_that_start_again_and_again_spend_only_what_they_earn(self):
        """Guards against restarts that each grant a class as many retries as the cap."""
        spent = 0
        for _ in range(10):
            budget = ExtraSubqueryBudget(0.1)
            budget.earn(100)
            spent += self.spend_all(budget)
        self.assertEqual(100, spent)

    def test_a_quiet_period_earns_no_more_than_the_cap(self):
        budget = ExtraSubqueryBudget(0.1)
        for _ in range(100):
            budget.earn(100)
        self.assertEqual(MAX_BALANCE, self.spend_all(budget))
