"""Test which replica and which owner the router chooses for a subquery."""

from collections import Counter
from random import Random
from unittest import TestCase

from core_tests.builders import build_instance, build_upstream
from core_tests.cold_start.fleet_of_dispatchers import ConfirmedView
from geraniumlead.cold_start import ColdStartGuard
from geraniumlead.configuration import ClusterView, PlacedUpstream
from geraniumlead.dispatch import Dispatcher
from geraniumlead.documents import DataCentreDocument
from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.membership import Membership
from geraniumlead.ownership import OwnerTable
from geraniumlead.peer_messages import Heartbeat
from geraniumlead.routing import Router
from geraniumlead.routing.router import BUSY_IN_FLIGHT
from geraniumlead.settings import TimingSettings
from geraniumlead.upstreams import Cold, Records

RECORDS = Records(1, 0, b"[]")
LOCAL = ("ledger-0", "ledger-1", "ledger-2")
REMOTE = ("ledger-8", "ledger-9")


def build_view(local_state: str = "in") -> ClusterView:
    upstreams = dict.fromkeys(LOCAL, "noord") | dict.fromkeys(REMOTE, "zuid")
    return ClusterView(
        data_centres={
            "noord": DataCentreDocument(name="noord", region="noord", state=local_state),
            "zuid": DataCentreDocument(name="zuid", region="zuid"),
        },
        upstreams={
            name: PlacedUpstream(build_upstream(int(name[-1])), home)
            for name, home in upstreams.items()
        },
        instances={
            "noord": (build_instance(0),),
            "zuid": tuple(build_instance(0, instance_id=f"zuid-{n}") for n in range(2)),
        },
    )


class RouterTests(TestCase):
    def setUp(self):
        timing = TimingSettings(list_lag_ms=0.0)
        self.guard = ColdStartGuard("noord-0", timing, ConfirmedView())
        self.dispatcher = Dispatcher("noord-0", self.guard)
        self.membership = Membership("noord-0", "noord", 2_500.0)
        self.router = Router(
            "noord-0", "noord", self.membership, self.dispatcher, self.guard, Random(1)
        )
        self.apply_view(build_view())
        for name in LOCAL:
            self.guard.warmth_of(name).record_reported_warm(0.0)

    def apply_view(self, view: ClusterView) -> None:
        owners = OwnerTable(view)
        self.membership.update(view)
        self.dispatcher.update(view, owners, 1, 0.0)
        self.router.update(view, owners)
        for number in range(2):
            heartbeat = Heartbeat("i", "zuid", 1, 1, True)
            self.membership.handle_message(f"zuid-{number}", heartbeat, 0.0)

    def send(self, now_ms: float, latencies_ms: dict[str, float]) -> str:
        route = self.router.choose(LOCAL + REMOTE, (), now_ms)
        self.router.record_sent(route.upstream_id)
        latency_ms = latencies_ms.get(route.upstream_id, 4.0)
        self.router.record_answer(route.upstream_id, RECORDS, latency_ms, now_ms)
        return route.upstream_id

    def test_slow_replica_is_avoided_and_used_again_after_recovery(self):
        """One replica becomes ten times slower for a second and then recovers.

        With round-robin it would determine the latency of a third of all subqueries. If it were
        never tried again, it would stay idle and the others would carry its load.
        """
        slow = {"ledger-1": 40.0}
        for number in range(50):
            self.send(float(number), {})
        during = Counter(self.send(100.0 + number, slow) for number in range(400))
        self.assertLess(during["ledger-1"], 15)
        late = Counter(self.send(8_000.0 + number, {}) for number in range(400))
        self.assertGreater(late["ledger-1"], 60)

    def test_suspected_replica_gets_only_probes_until_one_is_answered_in_time(self):
        for number in range(50):
            self.send(float(number), {})
        for _ in range(3):
            self.router.record_overdue("ledger-2", 100.0)
        chosen = {self.send(200.0, {}) for _ in range(50)}
        self.assertNotIn("ledger-2", chosen)
        self.assertIsNone(self.router.choose_probe(LOCAL, (), 200.0))
        probe = self.router.choose_probe(LOCAL, (), 700.0)
        self.assertEqual("ledger-2", probe.upstream_id)
        self.router.record_sent("ledger-2")
        self.router.record_answer("ledger-2", RECORDS, 4.0, 704.0)
        self.assertIn("ledger-2", {self.send(710.0, {}) for _ in range(50)})

    def test_idle_suspect_is_used_while_all_others_are_busy(self):
        """Under overload answers are late because calls wait, so a healthy replica is suspected.

        Its share of the load then waits at the others, and the shard loses that part of its
        capacity when all of it is needed. One call at a time goes to the suspected replica.
        """
        for number in range(50):
            self.send(float(number), {})
        for _ in range(3):
            self.router.record_overdue("ledger-2", 100.0)
        self.assertNotEqual("ledger-2", self.router.choose(LOCAL, (), 110.0).upstream_id)
        for name in LOCAL:
            if name != "ledger-2":
                for _ in range(BUSY_IN_FLIGHT):
                    self.router.record_sent(name)
        self.assertEqual("ledger-2", self.router.choose(LOCAL, (), 110.0).upstream_id)
        self.router.record_sent("ledger-2")
        self.assertNotEqual("ledger-2", self.router.choose(LOCAL, (), 110.0).upstream_id)

    def test_suspicions_are_ignored_if_most_replicas_are_suspected(self):
        """The instance itself was slow, so that every answer seemed late."""
        for number in range(50):
            self.send(float(number), {})
        for name in LOCAL + REMOTE:
            for _ in range(3):
                self.router.record_overdue(name, 100.0)
        routes = [self.router.choose(LOCAL + REMOTE, (), 110.0) for _ in range(90)]
        self.assertEqual(set(LOCAL), {route.upstream_id for route in routes})

    def test_suspicions_of_half_of_the_replicas_are_acted_on(self):
        """Half of all replicas are lost, and one of the others is late by chance as well.

        If suspicions were ignored now, half of the load would go back to the lost replicas.
        """
        for number in range(50):
            self.send(float(number), {})
        for name in ("ledger-0", "ledger-8", "ledger-9"):
            for _ in range(3):
                self.router.record_overdue(name, 100.0)
        self.assertNotIn("ledger-0", {self.send(110.0, {}) for _ in range(60)})

    def test_upstreams_of_a_data_centre_that_is_out_get_nothing(self):
        self.apply_view(build_view(local_state="out"))
        for _ in range(20):
            route = self.router.choose(LOCAL + REMOTE, (), 1.0)
            self.assertIn(route.upstream_id, REMOTE)
            self.assertIn(route.owner_id, ("zuid-0", "zuid-1"))

    def test_cold_upstream_elsewhere_is_reached_through_its_slot_holder(self):
        self.apply_view(build_view(local_state="out"))
        for name in REMOTE:
            self.router.record_sent(name)
            self.router.record_answer(name, Cold(), 1.0, 10.0)
        for _ in range(20):
            route = self.router.choose(LOCAL + REMOTE, (), 20.0)
            holder = rank_by_rendezvous(route.upstream_id, ["zuid-0", "zuid-1"])[0]
            self.assertEqual(holder, route.owner_id)
