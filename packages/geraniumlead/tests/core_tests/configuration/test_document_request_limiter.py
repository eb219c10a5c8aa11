"""Test how many requests for documents are open at the same time."""

from unittest import TestCase

from geraniumlead.configuration import DocumentRequestLimiter
from geraniumlead.configuration.document_request_limiter import REQUEST_TIMEOUT_MS


class DocumentRequestLimiterTests(TestCase):
    def test_one_request_first_and_twice_as_many_after_each_loss(self):
        limiter = DocumentRequestLimiter()
        for round_number, expected in enumerate((1, 2, 4)):
            now_ms = round_number * REQUEST_TIMEOUT_MS
            self.assertEqual(expected, sum(limiter.may_request(4, 5, now_ms) for _ in range(10)))

    def test_an_answer_permits_a_request_for_the_next_change(self):
        limiter = DocumentRequestLimiter()
        self.assertTrue(limiter.may_request(4, 5, 0.0))
        self.assertTrue(limiter.may_request(5, 6, 1.0))
        self.assertFalse(limiter.may_request(5, 6, 1.0))
