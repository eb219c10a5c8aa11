"""Test the answers to callers when a shard is late, missing or moved."""

from unittest import TestCase

from msgspec.json import decode, encode
from msgspec.structs import replace

from geraniumlead.documents import (
    DataCentreDocument,
    DocumentKind,
    IndexDocument,
    TrafficClass,
    document_key,
)
from geraniumlead.events import QueryArrived
from geraniumlead.requests import Answered, CallerRequest, MissingReason
from geraniumlead_standins.virtual.small_cluster import (
    SERVICE,
    ClusterSize,
    SmallCluster,
    build_index,
    default_contract,
)

START_MS = 2_000.0
PARTIAL_CLASS = TrafficClass(
    name="partial",
    service=SERVICE,
    priority=0,
    deadline_ms=1_000,
    least_coverage=0.5,
    waits_for_all=False,
)


class Caller:
    """Sends queries of one class and stores their answers."""

    def __init__(self, seed: int, size: ClusterSize, class_name: str = "lookup") -> None:
        contract = default_contract()
        contract = replace(contract, classes=[*contract.classes, PARTIAL_CLASS])
        self.cluster = SmallCluster.from_size(size, seed, contract)
        self.run = self.cluster.run
        self.class_name = class_name
        self.answers: list = []
        self.run.on_answer = lambda name, action, now_ms: self.answers.append(
            (now_ms - action.arrived_ms, action.outcome)
        )
        self.run.queue.run_until(START_MS)
        self.sent = 0

    def send(self, count: int, deadline_ms: float = 200.0, least_coverage: float = 1.0) -> None:
        """Send ``count`` queries, one every 10 ms, through all instances in turn."""
        names = list(self.run.instances)
        for _ in range(count):
            now_ms = self.run.now_ms
            request = CallerRequest(
                f"r{self.sent}",
                "acme",
                self.class_name,
                b"{}",
                now_ms,
                now_ms + deadline_ms,
                least_coverage,
            )
            self.run.deliver(names[self.sent % len(names)], QueryArrived(request))
            self.sent += 1
            self.run.queue.run_until(now_ms + 10.0)

    def upstream(self, upstream_id: str):
        """Return an upstream by its id."""
        return next(u for u in self.run.upstreams.values() if u.upstream_id == upstream_id)


class StragglerTests(TestCase):
    def test_late_replica_is_hedged_and_its_call_cancelled(self):
        """One replica of a shard stops answering while the other one works.

        Without a hedge, each query that was sent to it would wait until its deadline.
        """
        caller = Caller(1, ClusterSize(instances=1))
        caller.send(200)
        caller.upstream("ledger-noord-0").is_silent = True
        caller.run.queue.run_until(caller.run.now_ms + 200.0)
        caller.answers.clear()
        caller.send(100)
        caller.run.queue.run_until(caller.run.now_ms + 500.0)
        latencies_ms = [latency_ms for latency_ms, _ in caller.answers]
        self.assertEqual(100, len(latencies_ms))
        self.assertLess(max(latencies_ms), 60.0)
        self.assertTrue(all(outcome.coverage.is_whole for _, outcome in caller.answers))

    def test_class_that_need_not_wait_gets_a_partial_answer_early(self):
        """Both replicas of one shard stop answering; the class accepts half of the shards.

        The caller's deadline is a second, but the missing shard will not be answered.
        """
        caller = Caller(2, ClusterSize(instances=1), "partial")
        caller.send(200, deadline_ms=1_000.0, least_coverage=0.5)
        for name in ("ledger-noord-0", "ledger-noord-4"):
            caller.upstream(name).is_silent = True
        caller.run.queue.run_until(caller.run.now_ms + 200.0)
        caller.answers.clear()
        caller.send(20, deadline_ms=1_000.0, least_coverage=0.5)
        caller.run.queue.run_until(caller.run.now_ms + 2_000.0)
        self.assertEqual(20, len(caller.answers))
        for latency_ms, outcome in caller.answers:
            self.assertIsInstance(outcome, Answered)
            self.assertLess(latency_ms, 200.0)
            self.assertEqual(3, outcome.coverage.answered_shards)
            self.assertEqual(
                [(0, MissingReason.OVERDUE)],
                [(missing.shard, missing.reason) for missing in outcome.coverage.missing],
            )

    def test_repartition_under_running_queries_keeps_one_version_in_an_answer(self):
        """The index is repartitioned: upstreams drop the old version while queries run.

        A query that merged records of both versions would count some twice or not at all.
        """
        caller = Caller(3, ClusterSize(instances=2))
        caller.send(50)
        size = caller.cluster.size
        new = build_index(size, 2)
        key = document_key(DocumentKind.INDEX, SERVICE, "2")
        for upstream in caller.run.upstreams.values():
            upstream.holds[2] = set(upstream.holds[1])
        caller.run.publish({key: encode(new)})
        caller.send(3)
        for number, upstream in enumerate(caller.run.upstreams.values()):
            at_ms = caller.run.now_ms + 3.0 * number
            caller.run.queue.add(at_ms, lambda u=upstream: u.holds.pop(1))
        caller.send(50)
        old = IndexDocument(service=SERVICE, version=1, shards=new.shards, state="retired")
        caller.run.publish({document_key(DocumentKind.INDEX, SERVICE, "1"): encode(old)})
        caller.send(20)
        caller.run.queue.run_until(caller.run.now_ms + 500.0)
        self.assertEqual(caller.sent, len(caller.answers))
        for _, outcome in caller.answers:
            self.assertIsInstance(outcome, Answered)
            self.assertTrue(outcome.coverage.is_whole)
            versions = [record["version"] for part in outcome.records for record in decode(part)]
            self.assertEqual({outcome.index_version}, set(versions))

    def test_data_centre_that_is_taken_out_gets_nothing_new_and_loses_nothing(self):
        """Operators take one of two data centres out under load.

        Running calls end, queued ones go to the other data centre, and callers notice nothing.
        """
        caller = Caller(4, ClusterSize(data_centres=("noord", "zuid")))
        caller.send(100)
        out = DataCentreDocument(name="noord", region="noord", state="out")
        caller.run.publish({document_key(DocumentKind.DATA_CENTRE, "noord"): encode(out)})
        caller.send(50)
        noord = [u for u in caller.run.upstreams.values() if "-noord-" in u.upstream_id]
        received = sum(upstream.received for upstream in noord)
        caller.send(100)
        caller.run.queue.run_until(caller.run.now_ms + 500.0)
        self.assertEqual(received, sum(upstream.received for upstream in noord))
        self.assertEqual(250, len(caller.answers))
        self.assertTrue(all(isinstance(outcome, Answered) for _, outcome in caller.answers))
