"""Test real processes for a short time; only invariants that do not depend on timing."""

import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from geraniumlead_standins.history.checks import CHECKS
from geraniumlead_standins.soak.__main__ import soak
from geraniumlead_standins.soak.layout import Layout
from geraniumlead_standins.soak.port_block import find_port_block

SEED = 3
DURATION_S = 8.0
RATE_PER_S = 20.0
UNTIMED_INVARIANTS = ("one snapshot", "true coverage", "not run", "at most once")


class ShortSoakTests(TestCase):
    def test_untimed_invariants_hold_under_random_failures(self):
        """Processes are killed, frozen and stopped while callers look up and book.

        Afterwards, what each caller saw must be consistent with what each upstream ran.
        """
        with TemporaryDirectory() as folder:
            layout = Layout(Path(folder), find_port_block())
            history, _ = asyncio.run(soak(layout, SEED, DURATION_S, RATE_PER_S))
        self.assertTrue(any(found.outcome == "whole" for found in history.get_events("answered")))
        for invariant in UNTIMED_INVARIANTS:
            with self.subTest(invariant=invariant):
                self.assertEqual([], CHECKS[invariant](history).violations)
