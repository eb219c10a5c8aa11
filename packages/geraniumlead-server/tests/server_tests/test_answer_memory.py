from unittest import TestCase

from geraniumlead_server.answer_memory import AnswerMemory


class Answer:
    """A receiver that notes whether it was rejected."""

    def __init__(self) -> None:
        self.is_rejected = False

    def reject_answer(self) -> None:
        self.is_rejected = True


class AnswerMemoryTests(TestCase):
    def setUp(self):
        self.memory = AnswerMemory(max_answer_bytes=100, max_open_bytes=250)

    def receive(self, *sizes: int) -> list[Answer]:
        answers = [Answer() for _ in sizes]
        for answer, size in zip(answers, sizes, strict=True):
            self.memory.add(answer, size)
        return answers

    def test_one_answer_may_not_exceed_its_limit(self):
        (answer,) = self.receive(100)
        self.assertFalse(answer.is_rejected)
        self.memory.add(answer, 1)
        self.assertTrue(answer.is_rejected)
        self.assertEqual(0, self.memory.total_bytes)

    def test_the_longest_answer_is_rejected_for_all_of_them(self):
        """Guards against many long answers that each keep their limit, and short ones beside."""
        answers = self.receive(90, 10, 100, 20, 40)
        rejected = [answer.is_rejected for answer in answers]
        self.assertEqual([False, False, True, False, False], rejected)
        self.assertEqual(160, self.memory.total_bytes)

    def test_complete_answers_are_released(self):
        for _ in range(10):
            answers = self.receive(90, 90)
            for answer in answers:
                self.memory.release(answer)
                self.assertFalse(answer.is_rejected)
        self.assertEqual(0, self.memory.total_bytes)
