"""Test that the concurrency limit follows changes in capacity and settles."""

from random import Random
from unittest import TestCase

from geraniumlead.admission.concurrency_limit import ConcurrencyLimit

SERVICE_MS = 8.0


class LimitedService:
    """A service that runs one request in each slot and queues the others.

    By default it is always loaded up to the limit. The latency follows from Little's law, with
    random variation of a tenth.
    """

    def __init__(self, slots: float) -> None:
        self.slots = slots
        self.limit = ConcurrencyLimit()
        self.random = Random(1)
        self.now_ms = 0.0

    def run(self, seconds: float, demand: float = float("inf")) -> list[float]:
        """Run for a time and return the limit after every request."""
        end_ms, values = self.now_ms + seconds * 1_000.0, []
        while self.now_ms < end_ms:
            in_service = min(demand, self.limit.value)
            latency_ms = SERVICE_MS * max(1.0, in_service / self.slots)
            latency_ms *= self.random.uniform(0.9, 1.1)
            self.now_ms += latency_ms / in_service
            self.limit.record_in_service(in_service)
            self.limit.observe("all", self.now_ms - latency_ms, self.now_ms)
            values.append(self.limit._value)
        return values


class ConcurrencyLimitTests(TestCase):
    def test_limit_fills_the_slots_within_two_seconds(self):
        service = LimitedService(slots=20.0)
        service.run(2.0)
        self.assertGreater(service.limit._value, 20.0)

    def test_limit_settles_without_oscillation(self):
        service = LimitedService(slots=20.0)
        service.run(20.0)
        values = service.run(10.0)
        self.assertGreater(min(values), 20.0)
        self.assertLess(max(values), 4.0 * 20.0)
        self.assertLess(max(values) / min(values), 1.5)

    def test_lost_upstreams_shrink_the_limit_within_two_seconds(self):
        """Half of the upstreams are lost under full load.

        With the old limit twice as many requests wait at the remaining upstreams, and their
        latency doubles. The limit has to fall by about half, and to recover afterwards.
        """
        service = LimitedService(slots=20.0)
        service.run(20.0)
        before = service.limit._value
        service.slots = 10.0
        service.run(2.0)
        self.assertLess(service.limit._value, 0.75 * before)
        service.slots = 20.0
        service.run(5.0)
        self.assertGreater(service.limit._value, 0.9 * before)

    def test_limit_is_unchanged_under_light_load(self):
        service = LimitedService(slots=20.0)
        service.run(20.0)
        # The window in which the load decreases still includes the high load.
        service.run(0.5, demand=3.0)
        before = service.limit._value
        service.run(10.0, demand=3.0)
        self.assertEqual(before, service.limit._value)
