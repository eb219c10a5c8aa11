"""Test that every request ends exactly once, in any order of events."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from core_tests.admission.builders import build_controller, build_request, build_view
from core_tests.builders import build_contract, build_traffic_class
from geraniumlead.admission import Admitted, Queued, Refused
from geraniumlead.requests import Answered, Coverage

CLASSES = ("lookup", "audit", "archive")
STEPS = ("offer", "end", "wait", "leave")


def build_mixed_contract():
    return build_contract(
        burst_requests=1_000,
        classes=[
            build_traffic_class(name="lookup", priority=0),
            build_traffic_class(name="audit", priority=5, deadline_ms=2_000),
            build_traffic_class(name="archive", deadline_ms=5_000, long_running=True),
        ],
    )


class Requests:
    """Tracks each request from its offer to its end."""

    def __init__(self, data) -> None:
        view = build_view(build_mixed_contract())
        self.controller = build_controller(view, queued_requests=10)
        self.data = data
        self.now_ms = 0.0
        self.offered = 0
        self.running: list[str] = []
        self.waiting: set[str] = set()
        self.ended: list[str] = []

    def handle(self, decision) -> None:
        request_id = decision.request.request_id
        match decision:
            case Admitted():
                self.waiting.discard(request_id)
                self.running.append(request_id)
            case Queued():
                self.waiting.add(request_id)
            case Refused():
                self.waiting.discard(request_id)
                self.ended.append(request_id)

    def pop_ready(self) -> None:
        for decision in self.controller.pop_ready(self.now_ms):
            self.handle(decision)

    def offer(self) -> None:
        for _ in range(self.data.draw(st.integers(1, 12))):
            self.offered += 1
            name = self.data.draw(st.sampled_from(CLASSES))
            key = self.data.draw(st.sampled_from((None, "k")))
            request = build_request(self.offered, self.now_ms, class_name=name, key=key)
            self.handle(self.controller.offer(request, self.now_ms))

    def end(self, request_id: str) -> None:
        self.running.remove(request_id)
        self.ended.append(request_id)
        outcome = Answered(1, Coverage(4, 4, ()), ())
        self.controller.release(request_id, self.now_ms, outcome)

    def leave(self, request_id: str) -> None:
        self.waiting.discard(request_id)
        self.ended.append(request_id)
        self.controller.release(request_id, self.now_ms)

    def step(self) -> None:
        match self.data.draw(st.sampled_from(STEPS)):
            case "offer":
                self.offer()
            case "end" if self.running:
                self.end(self.data.draw(st.sampled_from(self.running)))
            case "wait":
                self.now_ms += self.data.draw(st.floats(0.0, 300.0))
            case "leave" if self.waiting:
                self.leave(self.data.draw(st.sampled_from(sorted(self.waiting))))
        self.pop_ready()

    def finish(self) -> None:
        while self.running or self.waiting:
            if self.running:
                self.end(self.running[0])
            self.now_ms += 10.0
            self.pop_ready()


class ConservationTests(TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.data())
    def test_every_request_ends_exactly_once(self, data):
        requests = Requests(data)
        controller = requests.controller
        for _ in range(data.draw(st.integers(1, 60))):
            requests.step()
            self.assertEqual(bool(requests.waiting), controller.next_wake_ms() is not None)
        requests.finish()
        self.assertEqual(requests.offered, len(requests.ended))
        self.assertEqual(requests.offered, len(set(requests.ended)))
        self.assertEqual({}, controller._open_requests)
        self.assertEqual(0, sum(gate.open_requests for gate in controller._gates.values()))
        for pool in controller._pools.values():
            self.assertAlmostEqual(0.0, pool.in_service)
            self.assertEqual(0, pool.queue.length)
