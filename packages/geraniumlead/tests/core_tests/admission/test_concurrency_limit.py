"""Test how quickly the limit follows a step, and that it settles."""

from random import Random
from unittest import TestCase

from geraniumlead.admission.concurrency_limit import ConcurrencyLimit

SERVICE_MS = 8.0


class LimitedService:
    """Serve as many requests at once as it has places; the others wait in its queue.

    Load is always there, so the limit decides how many are in service. Latency follows from
    Little's law, with a scatter of a tenth.
    """

    def __init__(self, places: float) -> None:
        self.places = places
        self.limit = ConcurrencyLimit()
        self.random = Random(1)
        self.now_ms = 0.0

    def run(self, seconds: float, demand: float = float("inf")) -> list[float]:
        """Return the limit after every window."""
        end_ms, values = self.now_ms + seconds * 1_000.0, []
        while self.now_ms < end_ms:
            in_service = min(demand, self.limit.value)
            latency_ms = SERVICE_MS * max(1.0, in_service / self.places)
            latency_ms *= self.random.uniform(0.9, 1.1)
            self.now_ms += latency_ms / in_service
            self.limit.note_in_service(in_service)
            self.limit.observe("all", self.now_ms - latency_ms, self.now_ms)
            values.append(self.limit._value)
        return values


class ConcurrencyLimitTests(TestCase):
    def test_load_up_fills_the_places_within_two_seconds(self):
        service = LimitedService(places=20.0)
        service.run(2.0)
        self.assertGreater(service.limit._value, 20.0)

    def test_it_settles_and_does_not_oscillate(self):
        service = LimitedService(places=20.0)
        service.run(20.0)
        values = service.run(10.0)
        self.assertGreater(min(values), 20.0)
        self.assertLess(max(values), 4.0 * 20.0)
        self.assertLess(max(values) / min(values), 1.5)

    def test_lost_upstreams_shrink_it_within_two_seconds(self):
        """Half of the upstreams are lost under full load.

        With the old limit twice as many requests wait at those that are left, and their
        latency doubles. The limit has to go down by about half, and come back afterwards.
        """
        service = LimitedService(places=20.0)
        service.run(20.0)
        before = service.limit._value
        service.places = 10.0
        service.run(2.0)
        self.assertLess(service.limit._value, 0.75 * before)
        service.places = 20.0
        service.run(5.0)
        self.assertGreater(service.limit._value, 0.9 * before)

    def test_light_load_leaves_it_alone(self):
        service = LimitedService(places=20.0)
        service.run(20.0)
        # The window in which the load goes still counts it.
        service.run(0.5, demand=3.0)
        before = service.limit._value
        service.run(10.0, demand=3.0)
        self.assertEqual(before, service.limit._value)
