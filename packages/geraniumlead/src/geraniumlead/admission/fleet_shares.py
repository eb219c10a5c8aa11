"""Split a contract's limits over the fleet without shared state."""

from collections.abc import Callable, Iterable
from heapq import nlargest

from geraniumlead.admission.decaying_rate import DecayingRate
from geraniumlead.admission.share_lease import ShareLease
from geraniumlead.peers.messages import ContractDemand

EVERY_PEER = ""
"""Names the report of all the peers that get none of their own."""

MOST_REPORTED = 32
"""Contracts in one heartbeat: the heaviest; the others keep their equal share."""

MOST_BORROWERS = 64
"""Peers that borrow one contract's share from one lender at a time."""

KEPT_SHARE = 0.2
"""Part of its equal share that an instance never lends: a caller that comes back there is
served while the rest is called back."""

HEADROOM = 1.25
"""A lender keeps this much more than it needs now, so that small swings move no leases."""

LENT_MS = 2_000.0
BORROWED_MS = 1_250.0
"""A lender counts a lease as lent for longer than the borrower uses it, so that a lost or
late message wastes a share for a moment and never doubles it. The difference, 750 ms, is
the longest delay of a message under which the sum is kept."""

DEMAND_TIME_CONSTANT_MS = 1_000.0
NEGLIGIBLE_PER_S = 0.01
SWEEP_EVERY_MS = 30_000.0


class FleetShares:
    """Compute what share of each contract this instance may admit.

    Load pattern: a customer's traffic reaches the instances unevenly, and moves. With equal
    shares only, a customer whose traffic comes through one instance of seven would get a
    seventh of what it pays for. Shares in proportion to demand reports, the rival that was
    weighed, give each instance up to the whole contract when reports are lost. Here an
    instance begins with an equal share of the published list, and lends what it does not
    need to peers that report more demand than their equal share, for a short time. A share
    is held by one instance at a time, so with one list the sum over the fleet never exceeds
    the contract, whatever is lost; with lists of n and n + k instances it is at most
    (n + k) / n of it.
    """

    __slots__ = (
        "_admitted",
        "_borrowed",
        "_counts",
        "_instance_id",
        "_lent",
        "_live",
        "_needs",
        "_offered",
        "_rates",
        "_sweep_due_ms",
    )

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._live: frozenset[str] = frozenset((instance_id,))
        self._rates: dict[str, float] = {}
        self._offered: dict[str, DecayingRate] = {}
        self._counts: dict[str, int] = {}
        self._sweep_due_ms = 0.0
        self._admitted: dict[str, DecayingRate] = {}
        self._needs: dict[str, dict[str, ShareLease]] = {}
        self._lent: dict[str, dict[str, list[ShareLease]]] = {}
        self._borrowed: dict[str, dict[str, ShareLease]] = {}

    def update(self, rates_per_s: dict[str, float], live_ids: Iterable[str]) -> None:
        """Take over the contracts' rates and the published list of live instances."""
        self._live = frozenset(live_ids) | {self._instance_id}
        self._rates = rates_per_s
        for table in (self._offered, self._admitted, self._needs, self._lent, self._borrowed):
            for customer in table.keys() - rates_per_s.keys():
                del table[customer]
        for borrowed in self._borrowed.values():
            for peer_id in borrowed.keys() - self._live:
                del borrowed[peer_id]

    @property
    def equal_share(self) -> float:
        """Return one part of the published list of live instances."""
        return 1.0 / len(self._live)

    def note_offered(self, customer: str, now_ms: float) -> None:
        """Count a request, whether it is admitted or not."""
        meter = self._offered.get(customer)
        if meter is None:
            meter = self._offered[customer] = DecayingRate(DEMAND_TIME_CONSTANT_MS)
        meter.add(1.0, now_ms)
        self._counts[customer] = self._counts.get(customer, 0) + 1

    def note_admitted(self, customer: str, now_ms: float) -> None:
        """Count a request that came within the contract."""
        meter = self._admitted.get(customer)
        if meter is None:
            meter = self._admitted[customer] = DecayingRate(DEMAND_TIME_CONSTANT_MS)
        meter.add(1.0, now_ms)

    def offered_per_s(self, customer: str, now_ms: float) -> float:
        """Return the recent demand at this instance."""
        meter = self._offered.get(customer)
        return 0.0 if meter is None else meter.per_s(now_ms)

    def share_of(self, customer: str, now_ms: float) -> float:
        """Return the share of a contract that this instance may admit now."""
        borrowed = self._borrowed.get(customer)
        extra = 0.0
        if borrowed:
            extra = sum(lease.share for lease in borrowed.values() if lease.until_ms > now_ms)
        return max(0.0, self.equal_share - self._lent_share(customer, now_ms)) + extra

    def hear(self, sender_id: str, demand: Iterable[ContractDemand], now_ms: float) -> None:
        """Take in a peer's report: what it needs, and what it lends to this instance."""
        if sender_id not in self._live:
            return
        for item in demand:
            if item.customer not in self._rates:
                continue
            need = item.offered_per_s * HEADROOM / self._rates[item.customer] - self.equal_share
            if need > 0.0:
                needs = self._needs.setdefault(item.customer, {})
                if sender_id in needs or len(needs) < MOST_BORROWERS:
                    needs[sender_id] = ShareLease(need, now_ms + BORROWED_MS)
            if item.lent_share > 0.0 or sender_id in self._borrowed.get(item.customer, ()):
                lease = ShareLease(item.lent_share, now_ms + BORROWED_MS)
                self._borrowed.setdefault(item.customer, {})[sender_id] = lease

    def report(
        self, running_of: Callable[[str], int], now_ms: float
    ) -> dict[str, tuple[ContractDemand, ...]]:
        """Return the report for every peer that gets one of its own, and for ``EVERY_PEER``."""
        self._forget_idle(now_ms)
        counts, self._counts = self._counts, {}
        heaviest = nlargest(MOST_REPORTED, counts, key=counts.__getitem__)
        common = {name: self._demand(name, running_of(name), 0.0, now_ms) for name in heaviest}
        reports: dict[str, dict[str, ContractDemand]] = {}
        for customer in self._needs:
            for peer_id, share in self._lend(customer, now_ms).items():
                own = reports.setdefault(peer_id, dict(common))
                own[customer] = self._demand(customer, running_of(customer), share, now_ms)
        return {
            EVERY_PEER: tuple(common.values()),
            **{peer_id: tuple(own.values()) for peer_id, own in reports.items()},
        }

    def _demand(
        self, customer: str, running: int, lent_share: float, now_ms: float
    ) -> ContractDemand:
        offered_per_s = self.offered_per_s(customer, now_ms)
        admitted_per_s = self._admitted_per_s(customer, now_ms)
        return ContractDemand(customer, offered_per_s, admitted_per_s, running, lent_share)

    def _admitted_per_s(self, customer: str, now_ms: float) -> float:
        meter = self._admitted.get(customer)
        return 0.0 if meter is None else meter.per_s(now_ms)

    def _lend(self, customer: str, now_ms: float) -> dict[str, float]:
        needs = {
            peer_id: need.share
            for peer_id, need in self._needs[customer].items()
            if need.until_ms > now_ms and peer_id in self._live
        }
        lent = self._lent.setdefault(customer, {})
        held = {peer_id: _largest(leases, now_ms) for peer_id, leases in lent.items()}
        spare = self._spare(customer, now_ms)
        free = spare - sum(held.values())
        total = sum(needs.values())
        granted: dict[str, float] = {}
        for peer_id in sorted(needs):
            wanted = min(needs[peer_id], spare * needs[peer_id] / total)
            share = min(wanted, held.get(peer_id, 0.0) + max(0.0, free))
            free -= max(0.0, share - held.get(peer_id, 0.0))
            if share > 0.0:
                granted[peer_id] = share
                lent.setdefault(peer_id, []).append(ShareLease(share, now_ms + LENT_MS))
        return granted

    def _spare(self, customer: str, now_ms: float) -> float:
        needed = HEADROOM * self.offered_per_s(customer, now_ms) / self._rates[customer]
        return max(0.0, self.equal_share - max(KEPT_SHARE * self.equal_share, needed))

    def _lent_share(self, customer: str, now_ms: float) -> float:
        lent = self._lent.get(customer)
        if not lent:
            return 0.0
        return sum(_largest(leases, now_ms) for leases in lent.values())

    def _forget_idle(self, now_ms: float) -> None:
        if now_ms >= self._sweep_due_ms:
            # A look at every contract, so not at every heartbeat.
            self._sweep_due_ms = now_ms + SWEEP_EVERY_MS
            self._forget_quiet(now_ms)
        for table in (self._needs, self._borrowed):
            for customer, leases in list(table.items()):
                for peer_id, lease in list(leases.items()):
                    if lease.until_ms <= now_ms:
                        del leases[peer_id]
                if not leases:
                    del table[customer]
        for customer, lent in list(self._lent.items()):
            for peer_id, held in list(lent.items()):
                held[:] = [lease for lease in held if lease.until_ms > now_ms]
                if not held:
                    del lent[peer_id]
            if not lent:
                del self._lent[customer]

    def _forget_quiet(self, now_ms: float) -> None:
        for customer, meter in list(self._offered.items()):
            if meter.per_s(now_ms) < NEGLIGIBLE_PER_S:
                del self._offered[customer]
                self._admitted.pop(customer, None)


def _largest(leases: list[ShareLease], now_ms: float) -> float:
    return max((lease.share for lease in leases if lease.until_ms > now_ms), default=0.0)
