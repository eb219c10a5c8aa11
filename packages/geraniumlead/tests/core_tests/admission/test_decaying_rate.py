"""Test the rate estimate of recent requests."""

from unittest import TestCase

from geraniumlead.admission.decaying_rate import DecayingRate


class DecayingRateTests(TestCase):
    def test_single_event_does_not_inflate_the_rate(self):
        """A contract of 40 requests per second is idle for an hour, then gets one request.

        A rate of 10 per second was estimated from it, more than the equal share of seven
        instances. The others then lent four fifths of their shares and refused their second
        caller.
        """
        meter = DecayingRate(1_000.0)
        meter.add(1.0, 5_000.0)
        self.assertLessEqual(meter.per_s(5_000.0), 2.0)

    def test_reads_a_steady_rate(self):
        meter = DecayingRate(1_000.0)
        for number in range(100):
            meter.add(1.0, number * 50.0)
        self.assertAlmostEqual(20.0, meter.per_s(4_950.0), delta=1.0)
