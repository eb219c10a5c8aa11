"""Test how the shares of a contract are distributed over the fleet."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from geraniumlead.admission.fleet_shares import (
    BORROWER_LEASE_MS,
    EVERY_PEER,
    LENDER_LEASE_MS,
    FleetShares,
)

RATE_PER_S = 100.0
HEARTBEAT_MS = 500.0
LONGEST_DELAY_MS = LENDER_LEASE_MS - BORROWER_LEASE_MS


class Fleet:
    """Instances that exchange demand reports, some of which are lost or late."""

    def __init__(self, count: int) -> None:
        names = [f"i{number}" for number in range(count)]
        self.members = {name: FleetShares(name) for name in names}
        for member in self.members.values():
            member.update({"acme": RATE_PER_S}, names)
        self.now_ms = 0.0
        self.in_transit: list[tuple[float, str, str, tuple]] = []

    def offer(self, name: str, count: int) -> None:
        for _ in range(count):
            self.members[name].record_offered("acme", self.now_ms)

    def send_heartbeat(self, name: str, delays_ms: dict[str, float | None]) -> None:
        reports = self.members[name].build_demand_reports(lambda customer: 0, self.now_ms)
        for other in self.members:
            delay_ms = delays_ms.get(other, 1.0)
            if other != name and delay_ms is not None:
                report = reports.get(other, reports[EVERY_PEER])
                self.in_transit.append((self.now_ms + delay_ms, name, other, report))

    def advance(self, to_ms: float) -> None:
        for at_ms, sender, receiver, report in sorted(self.in_transit, key=lambda item: item[0]):
            if at_ms <= to_ms:
                self.members[receiver].handle_demand(sender, report, at_ms)
        self.in_transit = [item for item in self.in_transit if item[0] > to_ms]
        self.now_ms = to_ms

    def shares(self) -> dict[str, float]:
        return {name: member.share_of("acme", self.now_ms) for name, member in self.members.items()}


class FleetSharesTests(TestCase):
    def test_shares_are_equal_without_reports(self):
        shares = Fleet(4).shares()
        self.assertEqual([0.25] * 4, list(shares.values()))

    def test_share_moves_to_where_the_demand_is_and_back(self):
        """All traffic of a contract comes through one instance of four, then moves to another.

        The first instance must get most of the contract within three heartbeats. After the
        move the second one must get most of it within the time of a lease and three heartbeats.
        """
        fleet = Fleet(4)

        def run(busy: str, seconds: float) -> None:
            for _ in range(int(seconds * 2)):
                fleet.offer(busy, 45)
                for name in fleet.members:
                    fleet.send_heartbeat(name, {})
                fleet.advance(fleet.now_ms + HEARTBEAT_MS)

        run("i0", 2.0)
        self.assertGreater(fleet.shares()["i0"], 0.8)
        run("i1", 4.5)
        self.assertGreater(fleet.shares()["i1"], 0.8)
        self.assertLessEqual(sum(fleet.shares().values()), 1.0 + 1e-9)

    def test_leases_expire_without_reports(self):
        fleet = Fleet(2)
        for _ in range(4):
            fleet.offer("i0", 60)
            fleet.send_heartbeat("i0", {})
            fleet.send_heartbeat("i1", {})
            fleet.advance(fleet.now_ms + HEARTBEAT_MS)
        self.assertGreater(fleet.shares()["i0"], 0.8)
        fleet.advance(fleet.now_ms + LENDER_LEASE_MS)
        self.assertEqual([0.5, 0.5], list(fleet.shares().values()))

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.data())
    def test_sum_never_exceeds_the_contract(self, data):
        """Reports are lost, or late by up to ``LONGEST_DELAY_MS``, in any pattern.

        No instance may use a share that another one still uses. Otherwise the customer would
        exceed its contract, and the upstreams would get more load than they are sized for.
        """
        fleet = Fleet(data.draw(st.integers(2, 5)))
        names = list(fleet.members)
        delay = st.one_of(st.none(), st.floats(0.0, LONGEST_DELAY_MS - 1.0))
        for _ in range(data.draw(st.integers(1, 12))):
            for name in names:
                fleet.offer(name, data.draw(st.integers(0, 80)))
                delays = {other: data.draw(delay) for other in names}
                fleet.send_heartbeat(name, delays)
            target_ms = fleet.now_ms + HEARTBEAT_MS
            while fleet.now_ms < target_ms:
                step_ms = data.draw(st.floats(60.0, HEARTBEAT_MS))
                fleet.advance(min(target_ms, fleet.now_ms + step_ms))
                self.assertLessEqual(sum(fleet.shares().values()), 1.0 + 1e-9)
