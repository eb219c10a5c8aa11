"""Test that a query that crashes its upstreams does limited damage."""

from dataclasses import replace
from unittest import TestCase

from geraniumlead.events import QueryArrived
from geraniumlead.requests import CallerRequest, NotRun, RefusalReason
from geraniumlead_standins.bench.caller_load import CallerLoad
from geraniumlead_standins.bench.caller_stream import CallerStream
from geraniumlead_standins.bench.load_contracts import (
    CAPACITY_PER_S,
    SIZE,
    build_load_contract,
)

LARGE_SIZE = replace(SIZE, instances=3, replicas=4)


class CrashQueryTests(TestCase):
    def test_hundred_sends_crash_two_upstreams_at_most(self):
        """A caller sends a query that crashes every upstream repeatedly to all instances.

        Fanned out, it would crash one replica of every shard, and its retries the others. It may
        crash only the two upstreams on which it is tried. After that, callers learn that it was
        not run and when to retry; all other queries are answered in the meantime.
        """
        for seed in (1, 2, 3):
            load = CallerLoad(LARGE_SIZE, seed, [build_load_contract()])
            load.add(
                CallerStream(
                    "lookup",
                    0.3 * CAPACITY_PER_S,
                    end_ms=13_000.0,
                    draw_query=lambda random: b'{"member":%d}' % random.randrange(20),
                )
            )
            load.add(
                CallerStream(
                    "lookup",
                    50.0,
                    start_ms=10_500.0,
                    end_ms=12_500.0,
                    draw_query=lambda random: b'{"crash":1}',
                    label="crashing",
                )
            )
            load.finish()
            crashed = [found for found in load.run.upstreams.values() if found.crashes]
            self.assertLessEqual(len(crashed), 2)
            others, crashing = load.results["lookup"], load.results["crashing"]
            self.assertEqual(others.sent, len(others.latencies_ms))
            self.assertGreater(crashing.refused["quarantined"], 0.9 * crashing.sent)

    def test_sends_at_the_same_moment_crash_two_upstreams_at_most(self):
        """The query arrives at all instances at once, before any of them can notify the others."""
        load = CallerLoad(LARGE_SIZE, 5, [build_load_contract()])
        load.add(CallerStream("lookup", 0.3 * CAPACITY_PER_S, end_ms=9_000.0))
        load.run.queue.run_until(9_500.0)
        answers = []
        load.run.on_answer = lambda name, action, now_ms: answers.append(action)
        for number in range(30):
            now_ms = load.run.now_ms
            request = CallerRequest(
                f"c{number}", "acme", "lookup", b'{"crash":1}', now_ms, now_ms + 200.0, 1.0
            )
            load.run.deliver(f"noord-{number % 3}", QueryArrived(request))
        load.run.queue.run_until(10_000.0)
        crashed = [found for found in load.run.upstreams.values() if found.crashes]
        self.assertLessEqual(len(crashed), 2)
        self.assertEqual(30, len(answers))
        now_ms = load.run.now_ms
        late = CallerRequest("late", "acme", "lookup", b'{"crash": 1}', now_ms, now_ms + 200, 1.0)
        load.run.deliver("noord-2", QueryArrived(late))
        outcome = answers[-1].outcome
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(RefusalReason.QUARANTINED, outcome.reason)
        self.assertGreater(outcome.retry_after_ms, 1_000.0)

    def test_an_instance_that_starts_later_refuses_what_the_others_refuse(self):
        """Guards against a quarantine that is told once, and unknown to who starts afterwards."""
        load = CallerLoad(LARGE_SIZE, 5, [build_load_contract()])
        load.add(CallerStream("lookup", 0.3 * CAPACITY_PER_S, end_ms=16_000.0))
        load.run.queue.run_until(9_500.0)
        answers = self.collect_answers(load)
        for number in range(6):
            self.send_crashing(load, f"before-{number}", f"noord-{number % 3}")
            load.run.queue.run_until(load.run.now_ms + 500.0)
        crashes = sum(upstream.crashes for upstream in load.run.upstreams.values())
        load.run.kill("noord-1")
        load.run.start_instance(load.cluster.settings["noord-1"])
        load.run.queue.run_until(load.run.now_ms + 2_500.0)
        self.send_crashing(load, "after", "noord-1")
        load.run.queue.run_until(load.run.now_ms + 300.0)
        self.assertEqual(RefusalReason.QUARANTINED, answers["before-5"].reason)
        self.assertIsInstance(answers["after"], NotRun)
        self.assertEqual(RefusalReason.QUARANTINED, answers["after"].reason)
        later = sum(upstream.crashes for upstream in load.run.upstreams.values())
        self.assertEqual(crashes, later)

    def collect_answers(self, load: CallerLoad) -> dict:
        """Return a dictionary that gets the outcomes of the requests that are no stream's."""
        answers = {}
        handle_answer = load.run.on_answer

        def collect(name, action, now_ms):
            if action.request_id.startswith(("before", "after")):
                answers[action.request_id] = action.outcome
            else:
                handle_answer(name, action, now_ms)

        load.run.on_answer = collect
        return answers

    def send_crashing(self, load: CallerLoad, name: str, instance_id: str) -> None:
        now_ms = load.run.now_ms
        request = CallerRequest(name, "acme", "lookup", b'{"crash":1}', now_ms, now_ms + 200.0, 1.0)
        load.run.deliver(instance_id, QueryArrived(request))
