"""Test that requests which no upstream served don't change the concurrency limit."""

from unittest import TestCase

from core_tests.admission.builders import build_controller, build_request, build_view
from geraniumlead.admission import Admitted
from geraniumlead.requests import Coverage, Failed, MissingReason, MissingShard

WINDOWS = 20
PER_WINDOW = 50


class InstantFailureTests(TestCase):
    """A query crashes all replicas of a shard, and later requests fail as soon as they arrive.

    Their latency of 0 ms became the baseline. The limit divided by it, and the process ended
    with ZeroDivisionError. With a division guard alone, no served request could reach that
    baseline, and later callers would be refused.
    """

    def test_failures_without_any_answer_are_not_observed(self):
        controller = build_controller(build_view())
        missing = tuple(MissingShard(shard, MissingReason.NO_REPLICA) for shard in range(4))
        unanswered = Failed("too few shards answered", Coverage(4, 0, missing))
        number = 0
        for window in range(WINDOWS):
            for _ in range(PER_WINDOW):
                now_ms = window * 1_000.0
                request = build_request(number, now_ms)
                self.assertIsInstance(controller.offer(request, now_ms), Admitted)
                controller.release(request.request_id, now_ms, unanswered)
                number += 1
