"""Test which crashes tell that a request causes them."""

from unittest import TestCase

from geraniumlead.crashes import Crash, CrashRecord
from geraniumlead.crashes.crash_record import (
    INDEPENDENT_AFTER_MS,
    MAX_CRASHES,
    MAX_KEPT_CRASHES,
    MAX_QUARANTINE_MS,
    QUARANTINE_MS,
)


def build_record(*crashes: tuple[int, float, float]) -> CrashRecord:
    record = CrashRecord()
    for process, sent_ms, lost_ms in crashes:
        record.add(Crash(process, sent_ms, lost_ms), is_confirmed=True)
    return record


class CrashRecordTests(TestCase):
    def test_one_outage_is_not_enough_however_many_upstreams_it_takes(self):
        """Guards against a power loss after which the queries in flight are refused."""
        record = build_record(*((number, 0.0, 30.0 + number) for number in range(20)))
        self.assertTrue(record.is_suspected)
        self.assertFalse(record.has_enough_crashes())

    def test_a_crash_of_a_later_try_is_enough(self):
        record = build_record((1, 0.0, 10.0), (2, 11.0, 20.0))
        record.add(Crash(3, 10.0 + INDEPENDENT_AFTER_MS, 300.0), is_confirmed=True)
        self.assertTrue(record.has_enough_crashes())

    def test_two_upstreams_lost_are_not_enough(self):
        record = build_record((1, 0.0, 10.0), (2, 5_000.0, 5_010.0))
        self.assertLess(len(record.crashes), MAX_CRASHES)
        self.assertFalse(record.has_enough_crashes())

    def test_the_same_process_counts_once(self):
        record = build_record((1, 0.0, 10.0), (1, 900.0, 910.0), (1, 2_000.0, 2_010.0))
        self.assertEqual(1, len(record.crashes))

    def test_a_crash_after_many_of_one_moment_is_kept(self):
        """Guards against a query over many shards that fills its record at its first try."""
        record = build_record(*((number, 0.0, 30.0 + number) for number in range(40)))
        record.add(Crash(99, 5_000.0, 5_030.0), is_confirmed=True)
        self.assertEqual(MAX_KEPT_CRASHES, len(record.crashes))
        self.assertTrue(record.has_enough_crashes())

    def test_unconfirmed_crashes_count_once_they_are_confirmed(self):
        record = build_record((1, 0.0, 10.0), (2, 11.0, 20.0))
        record.add(Crash(3, 1_000.0, 1_010.0), is_confirmed=False)
        self.assertFalse(record.has_enough_crashes())
        record.confirm()
        self.assertTrue(record.has_enough_crashes())

    def test_the_quarantine_grows_with_each_try_that_crashes_an_upstream(self):
        record = CrashRecord(quarantined_ms=1_000.0)
        self.assertEqual(1_000.0 + QUARANTINE_MS, record.refused_until_ms)
        record.failed_probes = 9
        self.assertEqual(1_000.0 + MAX_QUARANTINE_MS, record.refused_until_ms)
