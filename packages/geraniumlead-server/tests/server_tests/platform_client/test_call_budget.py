"""Test the limit on calls."""

from unittest import TestCase

from geraniumlead_server.platform_client.call_budget import (
    BURST_CALLS,
    CALLS_PER_S,
    CallBudget,
)


class CallBudgetTests(TestCase):
    def test_a_fault_that_ends_each_call_at_once_is_bounded(self):
        budget, now_s, calls = CallBudget(0.0), 0.0, 0
        while now_s < 10.0:
            now_s += budget.reserve(now_s)
            calls += 1
        self.assertLessEqual(calls, BURST_CALLS + 10.0 * CALLS_PER_S + 1)
