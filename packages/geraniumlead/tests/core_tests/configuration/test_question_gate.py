"""Test how many peers are asked at once."""

from unittest import TestCase

from geraniumlead.configuration import QuestionGate
from geraniumlead.configuration.question_gate import ASK_AGAIN_MS


class QuestionGateTests(TestCase):
    def test_one_question_first_and_twice_as_many_after_each_loss(self):
        gate = QuestionGate()
        for round_number, expected in enumerate((1, 2, 4)):
            now_ms = round_number * ASK_AGAIN_MS
            self.assertEqual(expected, sum(gate.may_ask(4, 5, now_ms) for _ in range(10)))

    def test_an_answer_opens_the_gate_for_the_next_change(self):
        gate = QuestionGate()
        self.assertTrue(gate.may_ask(4, 5, 0.0))
        self.assertTrue(gate.may_ask(5, 6, 1.0))
        self.assertFalse(gate.may_ask(5, 6, 1.0))
