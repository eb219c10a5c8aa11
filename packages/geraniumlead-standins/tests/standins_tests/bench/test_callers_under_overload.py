"""Test what callers receive when the load exceeds the capacity."""

from unittest import TestCase

from geraniumlead_standins.bench.caller_load import CallerLoad
from geraniumlead_standins.bench.caller_stream import CallerStream
from geraniumlead_standins.bench.load_contracts import (
    CAPACITY_PER_S,
    SIZE,
    build_load_contract,
)
from geraniumlead_standins.bench.stream_result import StreamResult

END_MS = 13_000.0
SEED = 3


def run_streams(*streams: CallerStream, contracts=None) -> dict[str, StreamResult]:
    load = CallerLoad(SIZE, SEED, contracts or [build_load_contract()])
    for stream in streams:
        load.add(stream)
    load.finish()
    return load.results


def lookups(share: float, **changes) -> CallerStream:
    return CallerStream("lookup", share * CAPACITY_PER_S, **({"end_ms": END_MS} | changes))


class OverloadTests(TestCase):
    def test_first_class_is_served_and_the_lowest_gets_its_floor(self):
        """The load is three times the capacity, and the first class is half of the capacity.

        The first class alone fits, so none of it may be refused, and its tail may grow only by
        the wait until running requests end. The remaining capacity goes to the other classes, and
        the lowest class gets its guaranteed minimum share. No refusal arrives after the deadline.
        """
        end_ms = 16_000.0
        alone = run_streams(lookups(0.5))["lookup"]
        rest_per_s = 1.25 * CAPACITY_PER_S
        found = run_streams(
            lookups(0.5, end_ms=end_ms),
            CallerStream("statement", rest_per_s, end_ms=end_ms, deadline_ms=500.0),
            CallerStream("audit", rest_per_s, end_ms=end_ms, deadline_ms=5_000.0),
        )
        first = found["lookup"]
        self.assertEqual(first.sent, len(first.latencies_ms))
        self.assertLess(first.quantile_ms(0.99), 1.5 * alone.quantile_ms(0.99))
        served = sum(len(result.latencies_ms) for result in found.values())
        self.assertGreater(served, 0.9 * CAPACITY_PER_S * 6.0)
        self.assertGreater(len(found["audit"].latencies_ms), 0.03 * served)
        self.assertEqual(0, sum(result.late for result in found.values()))

    def test_burst_is_refused_at_once_or_served(self):
        """A thousand requests arrive within a tenth of a second on a steady first-class load.

        Those that cannot be served within their half second are refused, nearly all of them on
        arrival. The steady load is served as before.
        """
        found = run_streams(
            lookups(0.4),
            CallerStream(
                "statement", 10_000.0, start_ms=10_500.0, end_ms=10_600.0, deadline_ms=500.0
            ),
        )
        first, burst = found["lookup"], found["statement"]
        self.assertEqual(first.sent, len(first.latencies_ms))
        self.assertGreater(len(burst.latencies_ms), 100)
        self.assertGreater(sum(burst.refused.values()), 300)
        self.assertLess(burst.failed, 0.05 * burst.sent)
        self.assertEqual(0, burst.late)


class HotTests(TestCase):
    def test_hot_caller_takes_nothing_from_the_others(self):
        """A customer sends twenty times its contract through all instances.

        It gets the rate of its contract in total, not from each instance, and the others are
        served as if it kept to its contract.
        """
        rate_per_s = 0.1 * CAPACITY_PER_S
        hot_contract = build_load_contract("hot", rate_per_s=rate_per_s, burst_requests=20)
        found = run_streams(
            lookups(0.3, label="others"),
            lookups(2.0, customer="hot", label="hot"),
            contracts=[build_load_contract(), hot_contract],
        )
        others, hot = found["others"], found["hot"]
        self.assertEqual(others.sent, len(others.latencies_ms))
        self.assertLess(others.quantile_ms(0.99), 25.0)
        self.assertLess(len(hot.latencies_ms), 1.1 * rate_per_s * 3.0 + 20)
        self.assertGreater(len(hot.latencies_ms), 0.9 * rate_per_s * 3.0)

    def test_hot_key_leaves_its_shard_to_the_others(self):
        found = run_streams(
            lookups(0.3),
            CallerStream(
                "statement",
                3.0 * CAPACITY_PER_S,
                end_ms=END_MS,
                deadline_ms=500.0,
                draw_key=lambda random: "member-1",
                label="hot key",
            ),
        )
        others = found["lookup"]
        self.assertEqual(others.sent, len(others.latencies_ms))
        self.assertLess(others.quantile_ms(0.99), 30.0)
        self.assertGreater(found["hot key"].refused["hot_key"], 1_000)
