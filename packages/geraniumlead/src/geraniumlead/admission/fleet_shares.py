from collections.abc import Callable, Iterable
from heapq import nlargest

from geraniumlead.admission.decaying_rate import DecayingRate
from geraniumlead.admission.share_lease import ShareLease
from geraniumlead.peer_messages.messages import ContractDemand

EVERY_PEER = ""
"""Key of the demand report for all peers that get no report of their own."""

MAX_REPORTED_CONTRACTS = 32
"""Maximum number of contracts in one heartbeat, those with the most requests first. The others keep
their equal share."""

MAX_BORROWERS = 64
"""Number of peers that may borrow from one lender's share of a contract at the same time."""

RESERVED_SHARE = 0.2
"""Part of its equal share that an instance never lends. It serves returning callers until the
leases of the rest have expired."""

HEADROOM = 1.25
"""Factor by which a share exceeds the current demand, so that small changes need no new leases."""

LENDER_LEASE_MS = 2_000.0
BORROWER_LEASE_MS = 1_250.0
"""The lender counts a lease for longer than the borrower uses it. A lost or late message then
leaves a share unused for a moment instead of counting it twice. The difference, 750 ms, is the
longest message delay for which the sum of the shares stays within the contract."""

DEMAND_TIME_CONSTANT_MS = 1_000.0
NEGLIGIBLE_PER_S = 0.01
SWEEP_INTERVAL_MS = 30_000.0


class FleetShares:
    """The share of each contract that this instance may admit.

    Load pattern: a customer's traffic is distributed unevenly over the instances, and the
    distribution changes. With equal shares alone, a customer whose traffic comes through one
    instance of seven would get a seventh of what it pays for. The alternative, shares in
    proportion to demand reports, allows each instance up to the whole contract when reports
    are lost. Here an instance starts with an equal share according to the published list of
    instances, and lends what it does not need for a short time to peers that report more
    demand than their equal share. Each share is held by one instance at a time. If all
    instances have the same list, the sum over the fleet never exceeds the contract, whatever
    messages are lost. With lists of n and n + k instances it is at most (n + k) / n of it.
    """

    __slots__ = (
        "_admitted_rates",
        "_borrowed",
        "_contract_rates",
        "_instance_id",
        "_lent",
        "_live_ids",
        "_needs",
        "_offered_rates",
        "_request_counts",
        "_sweep_due_ms",
    )

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._live_ids: frozenset[str] = frozenset((instance_id,))
        self._contract_rates: dict[str, float] = {}
        self._offered_rates: dict[str, DecayingRate] = {}
        self._request_counts: dict[str, int] = {}
        self._sweep_due_ms = 0.0
        self._admitted_rates: dict[str, DecayingRate] = {}
        self._needs: dict[str, dict[str, ShareLease]] = {}
        self._lent: dict[str, dict[str, list[ShareLease]]] = {}
        self._borrowed: dict[str, dict[str, ShareLease]] = {}

    def update(self, rates_per_s: dict[str, float], live_ids: Iterable[str]) -> None:
        """Apply the rates of the contracts and the published list of live instances."""
        self._live_ids = frozenset(live_ids) | {self._instance_id}
        self._contract_rates = rates_per_s
        for table in (
            self._offered_rates,
            self._admitted_rates,
            self._needs,
            self._lent,
            self._borrowed,
        ):
            for customer in table.keys() - rates_per_s.keys():
                del table[customer]
        for borrowed in self._borrowed.values():
            for peer_id in borrowed.keys() - self._live_ids:
                del borrowed[peer_id]

    @property
    def equal_share(self) -> float:
        """Return the share of each instance when all published live instances have the same."""
        return 1.0 / len(self._live_ids)

    def record_offered(self, customer: str, now_ms: float) -> None:
        """Count an offered request, whether it is admitted or not."""
        meter = self._offered_rates.get(customer)
        if meter is None:
            meter = self._offered_rates[customer] = DecayingRate(DEMAND_TIME_CONSTANT_MS)
        meter.add(1.0, now_ms)
        self._request_counts[customer] = self._request_counts.get(customer, 0) + 1

    def record_admitted(self, customer: str, now_ms: float) -> None:
        """Count an admitted request."""
        meter = self._admitted_rates.get(customer)
        if meter is None:
            meter = self._admitted_rates[customer] = DecayingRate(DEMAND_TIME_CONSTANT_MS)
        meter.add(1.0, now_ms)

    def offered_per_s(self, customer: str, now_ms: float) -> float:
        """Return the recent rate of requests of a contract at this instance."""
        meter = self._offered_rates.get(customer)
        return 0.0 if meter is None else meter.per_s(now_ms)

    def share_of(self, customer: str, now_ms: float) -> float:
        """Return the share of a contract that this instance may admit now."""
        borrowed = self._borrowed.get(customer)
        borrowed_share = 0.0
        if borrowed:
            borrowed_share = sum(
                lease.share for lease in borrowed.values() if lease.until_ms > now_ms
            )
        return max(0.0, self.equal_share - self._lent_share(customer, now_ms)) + borrowed_share

    def handle_demand(
        self, sender_id: str, demand: Iterable[ContractDemand], now_ms: float
    ) -> None:
        """Handle a peer's report of its demand and of the shares that it lends to this instance."""
        if sender_id not in self._live_ids:
            return
        for item in demand:
            if item.customer not in self._contract_rates:
                continue
            need = (
                item.offered_per_s * HEADROOM / self._contract_rates[item.customer]
                - self.equal_share
            )
            if need > 0.0:
                needs = self._needs.setdefault(item.customer, {})
                if sender_id in needs or len(needs) < MAX_BORROWERS:
                    needs[sender_id] = ShareLease(need, now_ms + BORROWER_LEASE_MS)
            if item.lent_share > 0.0 or sender_id in self._borrowed.get(item.customer, ()):
                lease = ShareLease(item.lent_share, now_ms + BORROWER_LEASE_MS)
                self._borrowed.setdefault(item.customer, {})[sender_id] = lease

    def build_demand_reports(
        self, count_running: Callable[[str], int], now_ms: float
    ) -> dict[str, tuple[ContractDemand, ...]]:
        """Return a report for each borrowing peer, and the one for ``EVERY_PEER``."""
        self._drop_expired_leases(now_ms)
        counts, self._request_counts = self._request_counts, {}
        heaviest = nlargest(MAX_REPORTED_CONTRACTS, counts, key=counts.__getitem__)
        common_report = {
            name: self._demand(name, count_running(name), 0.0, now_ms) for name in heaviest
        }
        reports: dict[str, dict[str, ContractDemand]] = {}
        for customer in self._needs:
            for peer_id, share in self._lend(customer, now_ms).items():
                peer_report = reports.setdefault(peer_id, dict(common_report))
                peer_report[customer] = self._demand(
                    customer, count_running(customer), share, now_ms
                )
        return {
            EVERY_PEER: tuple(common_report.values()),
            **{peer_id: tuple(peer_report.values()) for peer_id, peer_report in reports.items()},
        }

    def _demand(
        self, customer: str, running: int, lent_share: float, now_ms: float
    ) -> ContractDemand:
        offered_per_s = self.offered_per_s(customer, now_ms)
        admitted_per_s = self._admitted_per_s(customer, now_ms)
        return ContractDemand(customer, offered_per_s, admitted_per_s, running, lent_share)

    def _admitted_per_s(self, customer: str, now_ms: float) -> float:
        meter = self._admitted_rates.get(customer)
        return 0.0 if meter is None else meter.per_s(now_ms)

    def _lend(self, customer: str, now_ms: float) -> dict[str, float]:
        needs = {
            peer_id: need.share
            for peer_id, need in self._needs[customer].items()
            if need.until_ms > now_ms and peer_id in self._live_ids
        }
        lent = self._lent.setdefault(customer, {})
        still_lent = {peer_id: _largest_share(leases, now_ms) for peer_id, leases in lent.items()}
        spare = self._spare(customer, now_ms)
        free = spare - sum(still_lent.values())
        total = sum(needs.values())
        granted: dict[str, float] = {}
        for peer_id in sorted(needs):
            wanted = min(needs[peer_id], spare * needs[peer_id] / total)
            share = min(wanted, still_lent.get(peer_id, 0.0) + max(0.0, free))
            free -= max(0.0, share - still_lent.get(peer_id, 0.0))
            if share > 0.0:
                granted[peer_id] = share
                lent.setdefault(peer_id, []).append(ShareLease(share, now_ms + LENDER_LEASE_MS))
        return granted

    def _spare(self, customer: str, now_ms: float) -> float:
        needed = HEADROOM * self.offered_per_s(customer, now_ms) / self._contract_rates[customer]
        return max(0.0, self.equal_share - max(RESERVED_SHARE * self.equal_share, needed))

    def _lent_share(self, customer: str, now_ms: float) -> float:
        lent = self._lent.get(customer)
        if not lent:
            return 0.0
        return sum(_largest_share(leases, now_ms) for leases in lent.values())

    def _drop_expired_leases(self, now_ms: float) -> None:
        if now_ms >= self._sweep_due_ms:
            # This visits every contract, so it is not done at every heartbeat.
            self._sweep_due_ms = now_ms + SWEEP_INTERVAL_MS
            self._drop_idle_contracts(now_ms)
        for table in (self._needs, self._borrowed):
            for customer, leases in list(table.items()):
                for peer_id, lease in list(leases.items()):
                    if lease.until_ms <= now_ms:
                        del leases[peer_id]
                if not leases:
                    del table[customer]
        for customer, lent in list(self._lent.items()):
            for peer_id, still_lent in list(lent.items()):
                still_lent[:] = [lease for lease in still_lent if lease.until_ms > now_ms]
                if not still_lent:
                    del lent[peer_id]
            if not lent:
                del self._lent[customer]

    def _drop_idle_contracts(self, now_ms: float) -> None:
        for customer, meter in list(self._offered_rates.items()):
            if meter.per_s(now_ms) < NEGLIGIBLE_PER_S:
                del self._offered_rates[customer]
                self._admitted_rates.pop(customer, None)


def _largest_share(leases: list[ShareLease], now_ms: float) -> float:
    return max((lease.share for lease in leases if lease.until_ms > now_ms), default=0.0)
