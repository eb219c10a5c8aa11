from unittest import TestCase

from client_tests.builders import run_command, serve
from geraniumlead.requests import RefusalReason
from geraniumlead_client.explanations import REFUSAL_EXPLANATIONS


def build_request(**changes) -> dict:
    """Return an instance's record of a refused request."""
    request = {
        "request_id": "mine.1",
        "contract": "acme",
        "class": "lookup",
        "attempt": 1,
        "allowed_ms": 200.0,
        "least_coverage": 1.0,
        "outcome": "not_run",
        "latency_ms": 0.5,
        "queued_ms": 0.0,
        "subqueries": 0,
        "extra_subqueries": 0,
        "upstreams": {},
        "upstreams_left_out": 0,
        "missing": {},
        "details": {"reason": "rate"},
    }
    return request | changes


class ExplainCommandTests(TestCase):
    def explain(self, request, *arguments):
        with serve({"/v1/requests/mine": {"requests": [request]}}) as address:
            return run_command("explain", "mine", "--address", address, *arguments)

    def test_names_the_limit_that_was_exceeded(self):
        code, output, _ = self.explain(build_request())
        self.assertEqual(code, 0)
        self.assertIn("rate_per_s and burst_requests of the contract were used up", output)

    def test_names_upstreams_and_missing_shards(self):
        request = build_request(
            outcome="partial",
            subqueries=3,
            extra_subqueries=1,
            upstreams={"ledger-1": "noord-2"},
            missing={"deadline": 1},
            details={"index_version": 4, "asked_shards": 2, "answered_shards": 1},
        )
        _, output, _ = self.explain(request)
        self.assertIn("1 of 2 shards of index version 4", output)
        self.assertIn("sent to ledger-1 through noord-2", output)
        self.assertIn("missing shards: 1 deadline", output)

    def test_distinguishes_unknown_from_unreachable(self):
        with serve({}) as address:
            self.assertEqual(run_command("explain", "x", "--address", address)[0], 3)
        self.assertEqual(run_command("explain", "x", "--address", "127.0.0.1:1")[0], 4)

    def test_every_reason_has_an_explanation(self):
        self.assertEqual(set(REFUSAL_EXPLANATIONS), {reason.value for reason in RefusalReason})
