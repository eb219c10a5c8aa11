"""Tests that a caller detects an answer that contradicts itself."""

from unittest import TestCase

from geraniumlead_standins.load.answer_check import record_answer
from standins_tests.demo.builders import build_sent


def build_answer(**changes) -> dict:
    """Return a whole answer from two shards."""
    answer = {
        "outcome": "whole",
        "index_version": 1,
        "coverage": {"asked": 2, "answered": 2, "missing": []},
        "records": [{"id": "v1-s0"}, {"id": "v1-s1"}],
    }
    return answer | changes


class RecordAnswerTests(TestCase):
    def find_faults(self, **changes) -> list[str]:
        sent = build_sent(outcomes=[])
        record_answer(sent, build_answer(**changes))
        return sent.faults

    def test_accepts_a_consistent_answer(self):
        self.assertEqual(self.find_faults(), [])

    def test_finds_a_partial_answer_that_claims_to_be_whole(self):
        coverage = {"asked": 2, "answered": 1, "missing": [{"shard": 1, "reason": "deadline"}]}
        faults = self.find_faults(coverage=coverage, records=[{"id": "v1-s0"}])
        self.assertEqual(faults, ["coverage contradicts the outcome"])

    def test_finds_records_of_two_index_versions(self):
        faults = self.find_faults(records=[{"id": "v1-s0"}, {"id": "v2-s1"}])
        self.assertEqual(faults, ["records of another index version"])

    def test_finds_a_shard_that_is_merged_twice(self):
        faults = self.find_faults(records=[{"id": "v1-s0"}, {"id": "v1-s0"}])
        self.assertEqual(faults, ["records do not match the answered shards"])
