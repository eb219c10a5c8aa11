"""Test the bounded store of recent requests."""

from unittest import TestCase

from geraniumlead.requests import CallerRequest
from geraniumlead.upstreams import Subquery
from geraniumlead_server.operators import RecentRequests
from geraniumlead_server.operators.recent_requests import MAX_UPSTREAMS_PER_REQUEST
from server_tests.builders import build_answer


def build_request(request_id: str) -> CallerRequest:
    """Return a request with the given identifier."""
    return CallerRequest(request_id, "acme", "lookup", b"1", 0.0, 500.0, 1.0)


class RecentRequestsTests(TestCase):
    def test_forgets_the_oldest(self):
        recent = RecentRequests(max_requests=2)
        for name in ("a", "b", "c"):
            recent.record_arrival(build_request(name))
        self.assertEqual(recent.find("a"), [])
        recent.observe(build_answer(request_id="a"), 5.0)
        self.assertEqual(recent.find("c")[0].outcome, "open")

    def test_records_a_bounded_number_of_upstreams(self):
        recent = RecentRequests()
        recent.record_arrival(build_request("a"))
        for number in range(MAX_UPSTREAMS_PER_REQUEST + 5):
            subquery = Subquery(f"c{number}", "a", f"u{number}", "ledger", 1, number, 10.0, b"1")
            recent.record_subquery(subquery, "noord-1")
        found = recent.find("a")[0]
        self.assertEqual(len(found.upstreams), MAX_UPSTREAMS_PER_REQUEST)
        self.assertEqual(found.upstreams_left_out, 5)
