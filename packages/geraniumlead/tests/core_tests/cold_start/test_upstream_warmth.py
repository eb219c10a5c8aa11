"""Test the warmth phases of an upstream."""

from unittest import TestCase

from geraniumlead.cold_start import UpstreamWarmth, WarmthPhase
from geraniumlead.cold_start.upstream_warmth import (
    MAX_BACKOFF_MS,
    SETTLE_MS,
    UNPROVEN_AFTER_MS,
)
from geraniumlead.upstreams import Cold, ConnectionLost, NotReached, Records

WARM_ANSWER = Records(1, 0, b"[]")
COLD_ANSWER = Records(1, 0, b"[]", cold=True)


def build_warm(now_ms: float = 0.0) -> UpstreamWarmth:
    warmth = UpstreamWarmth()
    for _ in range(4):
        warmth.record_answer(WARM_ANSWER, now_ms, 2, now_ms)
    return warmth


class UpstreamWarmthTests(TestCase):
    def test_limit_doubles_with_rounds_of_warm_answers(self):
        warmth = UpstreamWarmth()
        self.assertEqual(WarmthPhase.WARM, warmth.record_answer(WARM_ANSWER, 0.0, 8, 1.0))
        limits = []
        for _ in range(7):
            warmth.record_answer(WARM_ANSWER, 0.0, 8, 2.0)
            limits.append(warmth.limit)
        self.assertEqual([2, 2, 4, 4, 4, 4, 8], limits)
        self.assertIs(WarmthPhase.WARM, warmth.phase)

    def test_every_sign_of_cold_start_resets_the_phase(self):
        for sign in (Cold(), COLD_ANSWER, NotReached(""), ConnectionLost("")):
            warmth = build_warm()
            notice = warmth.record_answer(sign, 0.0, 2, 10.0)
            with self.subTest(sign=sign):
                self.assertEqual(WarmthPhase.COLD, notice)
                self.assertFalse(warmth.takes_load)
                self.assertGreaterEqual(warmth.ready_ms, 10.0 + SETTLE_MS)

    def test_upstream_that_left_is_unproven_when_it_returns(self):
        """An upstream leaves, restarts before UNPROVEN_AFTER_MS, and is listed again.

        Its owner still considered it warm and sent two calls at the same time to an upstream
        that can serve one. A late answer to a call from before it left proves nothing.
        """
        warmth = build_warm()
        warmth.record_unusable(1_000.0)
        warmth.record_answer(WARM_ANSWER, 990.0, 2, 1_010.0)
        self.assertFalse(warmth.takes_load)

    def test_answer_from_before_the_restart_proves_nothing(self):
        """A warm answer arrives after a connection reset, but its call started before.

        If it were taken as proof, all owners would send their full share to an upstream that has
        just restarted, and would overload it.
        """
        warmth = build_warm()
        warmth.record_answer(ConnectionLost("reset"), 5.0, 2, 10.0)
        self.assertIsNone(warmth.record_answer(WARM_ANSWER, 9.0, 2, 12.0))
        self.assertIs(WarmthPhase.COLD, warmth.phase)

    def test_warm_notice_that_crossed_the_restart_is_ignored(self):
        warmth = build_warm()
        warmth.record_cold(10.0)
        warmth.record_reported_warm(11.0)
        self.assertIs(WarmthPhase.COLD, warmth.phase)
        warmth.record_reported_warm(10.0 + SETTLE_MS)
        self.assertEqual((WarmthPhase.WARMING, 1), (warmth.phase, warmth.limit))

    def test_idle_upstream_becomes_unproven(self):
        warmth = build_warm()
        warmth.expire_proof(UNPROVEN_AFTER_MS)
        self.assertTrue(warmth.takes_load)
        warmth.expire_proof(UNPROVEN_AFTER_MS + 1.0)
        self.assertIs(WarmthPhase.UNPROVEN, warmth.phase)

    def test_refused_connections_are_tried_less_and_less(self):
        warmth = UpstreamWarmth()
        waits = []
        for number in range(7):
            now_ms = number * 10_000.0
            warmth.record_answer(NotReached(""), now_ms, 2, now_ms)
            waits.append(warmth.ready_ms - now_ms)
        self.assertEqual([50.0, 100.0, 200.0, 400.0, 800.0, MAX_BACKOFF_MS, 1_000.0], waits)
