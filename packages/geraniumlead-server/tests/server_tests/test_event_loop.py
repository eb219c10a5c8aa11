"""Tests of the loop's clock in a suspension of the machine."""

import asyncio
import time
from unittest import TestCase
from unittest.mock import patch

from geraniumlead_server.event_loop import CLOCK, SuspendAwareEventLoop

SUSPENDED_S = 3.0


class SuspendAwareEventLoopTests(TestCase):
    def test_a_deadline_that_passes_in_a_suspension_is_over_after_it(self):
        """Guards against requests that get their whole time again after a suspension."""
        loop = SuspendAwareEventLoop()
        self.addCleanup(loop.close)
        read_clock = time.clock_gettime
        fired = asyncio.Event()
        loop.call_later(SUSPENDED_S - 0.5, fired.set)
        with patch.object(time, "clock_gettime", lambda clock: read_clock(clock) + SUSPENDED_S):
            loop.run_until_complete(asyncio.wait_for(fired.wait(), 0.2))
        self.assertTrue(fired.is_set())

    def test_the_clock_counts_from_the_start_of_the_machine(self):
        loop = SuspendAwareEventLoop()
        self.addCleanup(loop.close)
        self.assertAlmostEqual(time.clock_gettime(CLOCK), loop.time(), delta=1.0)
