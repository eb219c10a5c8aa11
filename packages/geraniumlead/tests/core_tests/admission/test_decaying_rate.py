"""Test the meter of recent demand."""

from unittest import TestCase

from geraniumlead.admission.decaying_rate import DecayingRate


class DecayingRateTests(TestCase):
    def test_one_event_is_no_flood(self):
        """A contract of 40 requests a second has a quiet hour, then a single request.

        The meter read it as 10 a second, more than the equal share of seven instances. The
        others lent four fifths of their shares and refused their second caller.
        """
        meter = DecayingRate(1_000.0)
        meter.add(1.0, 5_000.0)
        self.assertLessEqual(meter.per_s(5_000.0), 2.0)

    def test_reads_a_steady_rate(self):
        meter = DecayingRate(1_000.0)
        for number in range(100):
            meter.add(1.0, number * 50.0)
        self.assertAlmostEqual(20.0, meter.per_s(4_950.0), delta=1.0)
