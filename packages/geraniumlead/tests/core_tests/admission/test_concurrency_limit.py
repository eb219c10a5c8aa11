"""Test the limit that follows the upstreams' latency."""

from unittest import TestCase

from geraniumlead.admission.concurrency_limit import LEAST_SAMPLES, WINDOW_MS, ConcurrencyLimit


class ConcurrencyLimitTests(TestCase):
    def test_survives_answers_in_no_time(self):
        """Answers that arrive in the event of their call have a latency of zero.

        The window closed with a division by it, and the instance stopped on the next answer.
        """
        limit = ConcurrencyLimit()
        for number in range(3 * LEAST_SAMPLES):
            limit.observe("lookup", 0.0, number * WINDOW_MS)
        self.assertGreater(limit.value, 0.0)
