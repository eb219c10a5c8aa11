from collections.abc import Collection
from random import Random

from geraniumlead.cold_start import ColdStartGuard
from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.dispatch.dispatcher import Dispatcher
from geraniumlead.dispatch.upstream_gate import count_long_slots
from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.membership.membership import Membership
from geraniumlead.ownership.owners import OwnerTable
from geraniumlead.routing.replica import SUSPECT_AFTER_OVERDUE, Replica
from geraniumlead.routing.replica_group import ReplicaGroup
from geraniumlead.routing.subquery_route import SubqueryRoute
from geraniumlead.upstreams.answers import (
    Cold,
    ConnectionLost,
    Draining,
    NotReached,
    Records,
    Shed,
    TimedOut,
    UpstreamAnswer,
    UpstreamError,
)

COLD_HINT_MS = 500.0
"""Time for which an upstream is used through slot holders only after an owner reported it cold.

It is also the longest time for which a replica is avoided after it shed a call.
"""

MAX_SUSPECTED_SHARE = 0.6
"""Share of the replicas in use up to which suspicions are acted on.

It is above one half, because a rack failure may take one of the two replicas of every shard.
With a limit of one half, a single false suspicion more would send half of the load back to the
lost replicas.
"""

EQUAL_SCORE_RATIO = 1.5
"""Ratio of their scores up to which two replicas count as equal."""

BUSY_IN_FLIGHT = 3
"""Calls in flight from this instance at which a replica counts as busy.

A share of one slot runs only one of them at a time.
"""

PROBE_INTERVAL_MS = 500.0
"""Interval between probes of a suspected replica, so that a recovery shows within a second."""


class Router:
    """Chooses a near replica with a short expected wait, and the owner to send through.

    Load pattern: some replicas are slower or busier than others. With round-robin the slowest
    replica of each shard determines the latency. If every instance chooses the best known
    replica, together they overload it. Taking the better of two random replicas, compared by
    calls in flight times observed latency, avoids both (Mitzenmacher, 2001; Prequal, NSDI
    2024). If more than three in five replicas in use are suspected, the fault is probably this
    instance's own, so suspicions are ignored and the load is spread.
    """

    __slots__ = (
        "_cold_start",
        "_data_centre",
        "_dispatcher",
        "_groups",
        "_instance_id",
        "_membership",
        "_owners",
        "_random",
        "_replicas",
        "_suspected",
        "_view",
    )

    def __init__(
        self,
        instance_id: str,
        data_centre: str,
        membership: Membership,
        dispatcher: Dispatcher,
        cold_start: ColdStartGuard,
        random: Random,
    ) -> None:
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._membership = membership
        self._dispatcher = dispatcher
        self._cold_start = cold_start
        self._random = random
        self._view = ClusterView()
        self._owners = OwnerTable(self._view)
        self._replicas: dict[str, Replica] = {}
        self._groups: dict[tuple[str, ...], ReplicaGroup] = {}
        self._suspected: set[str] = set()

    def update(self, view: ClusterView, owners: OwnerTable) -> None:
        """Apply a new view. The observed state of upstreams that remain is kept."""
        self._view, self._owners = view, owners
        self._groups.clear()
        for upstream_id in self._replicas.keys() - view.upstreams.keys():
            del self._replicas[upstream_id]
            self._suspected.discard(upstream_id)
        for upstream_id, replica in self._replicas.items():
            replica.owners = owners.owners_of(upstream_id)
            replica.is_own = self._instance_id in replica.owners

    def choose(
        self,
        replicas: tuple[str, ...],
        tried: Collection[str],
        now_ms: float,
        long_running: bool = False,
        skip_avoided: bool = False,
    ) -> SubqueryRoute | None:
        """Return the best route to one of ``replicas`` that was not tried, or None.

        With ``skip_avoided`` there is no fallback to replicas that are avoided or known to be cold.
        """
        group = self._group_of(replicas)
        for tier in group.tiers:
            candidates = []
            for replica in tier:
                if replica.upstream_id in tried or self._should_avoid(replica, now_ms):
                    continue
                if not self._is_known_cold(replica, now_ms):
                    candidates.append(replica)
                elif replica.is_own and self._has_free_cold_slot(replica, now_ms):
                    # A free cold slot is used first, because this warms up the upstream.
                    return SubqueryRoute(replica.upstream_id, None)
            idle_suspect = self._find_idle_suspect(tier, candidates, tried, now_ms)
            while candidates:
                replica = idle_suspect or self._pick_of_two(candidates, now_ms)
                idle_suspect = None
                route = self._route_to(replica, now_ms, long_running)
                if route is not None:
                    return route
                if replica in candidates:
                    candidates.remove(replica)
        if skip_avoided:
            return None
        return self._choose_fallback(group, tried, now_ms, long_running)

    def _find_idle_suspect(
        self,
        tier: Collection[Replica],
        candidates: list[Replica],
        tried: Collection[str],
        now_ms: float,
    ) -> Replica | None:
        """Return a suspected replica that is idle while all candidates are busy.

        Under overload, answers are late because calls wait in queues, and a suspicion then
        removes half of a shard's capacity. One call at a time shows whether the replica is
        slow.
        """
        if not self._suspected or not candidates:
            return None
        if min(replica.in_flight for replica in candidates) < BUSY_IN_FLIGHT:
            return None
        for replica in tier:
            is_idle = replica.is_suspected and replica.in_flight == 0
            if is_idle and replica.upstream_id not in tried and now_ms >= replica.avoid_until_ms:
                return None if self._is_known_cold(replica, now_ms) else replica
        return None

    def choose_probe(
        self, replicas: tuple[str, ...], tried: Collection[str], now_ms: float
    ) -> SubqueryRoute | None:
        """Return a route to a suspected replica that is due for a probe, or None.

        A replica that gets no calls cannot be seen to recover. The probe is sent in addition to
        the normal subquery, so no caller waits for it.
        """
        if not self._suspected:
            return None
        for replica in self._group_of(replicas).tiers[0]:
            if not replica.is_suspected or now_ms < replica.probe_due_ms:
                continue
            if replica.upstream_id not in tried:
                replica.probe_due_ms = now_ms + PROBE_INTERVAL_MS
                return self._route_to(replica, now_ms, False)
        return None

    def record_sent(self, upstream_id: str) -> None:
        """Count a subquery as in flight."""
        self._replica(upstream_id).in_flight += 1

    def record_answer(
        self, upstream_id: str, answer: UpstreamAnswer, latency_ms: float, now_ms: float
    ) -> None:
        """Record how a subquery ended."""
        replica = self._replicas.get(upstream_id)
        if replica is None:
            return
        replica.in_flight -= 1
        match answer:
            case Records(cold=True):
                replica.consecutive_overdue = 0
            case Records():
                self._record_success(replica, latency_ms, now_ms)
            case Cold():
                replica.cold_until_ms = now_ms + COLD_HINT_MS
            case TimedOut(silent_connection=True):
                pass
            case NotReached() | Draining() | ConnectionLost() | TimedOut() | UpstreamError():
                replica.record_failure(now_ms)
            case Shed(retry_after_ms=retry_after_ms):
                replica.avoid_until_ms = now_ms + min(retry_after_ms, COLD_HINT_MS)

    def record_cancelled(self, upstream_id: str, elapsed_ms: float, now_ms: float) -> None:
        """Record that a subquery was cancelled after ``elapsed_ms``."""
        replica = self._replicas.get(upstream_id)
        if replica is not None:
            replica.in_flight -= 1
            replica.record_latency_lower_bound(elapsed_ms, now_ms)

    def record_overdue(self, upstream_id: str, now_ms: float) -> None:
        """Record that an answer is late. Suspect the replica after several in a row."""
        replica = self._replicas.get(upstream_id)
        if replica is None:
            return
        replica.consecutive_overdue += 1
        if replica.consecutive_overdue >= SUSPECT_AFTER_OVERDUE and not replica.is_suspected:
            replica.is_suspected = True
            replica.probe_due_ms = now_ms + PROBE_INTERVAL_MS
            self._suspected.add(upstream_id)

    def suspected_upstreams(self) -> set[str]:
        """Return the upstreams that are suspected because of late answers."""
        return self._suspected

    def _record_success(self, replica: Replica, latency_ms: float, now_ms: float) -> None:
        if replica.is_suspected:
            latencies_ms = [
                other.latency_ms
                for other in self._replicas.values()
                if other.latency_ms and not other.is_suspected
            ]
            median_ms = sorted(latencies_ms)[len(latencies_ms) // 2] if latencies_ms else latency_ms
            if latency_ms > SUSPECT_AFTER_OVERDUE * median_ms:
                return
            replica.is_suspected = False
            replica.latency_ms = latency_ms
            self._suspected.discard(replica.upstream_id)
        replica.record_latency(latency_ms, now_ms)

    def _should_avoid(self, replica: Replica, now_ms: float) -> bool:
        if now_ms < replica.avoid_until_ms:
            return True
        max_suspected = MAX_SUSPECTED_SHARE * len(self._replicas)
        return replica.is_suspected and len(self._suspected) <= max_suspected

    def _has_free_cold_slot(self, replica: Replica, now_ms: float) -> bool:
        return self._dispatcher.has_free_cold_slot(replica.upstream_id, now_ms)

    def _pick_of_two(self, candidates: list[Replica], now_ms: float) -> Replica:
        count = len(candidates)
        if count == 1:
            return candidates[0]
        first = int(self._random.random() * count)
        second = int(self._random.random() * (count - 1))
        one, other = candidates[first], candidates[second if second < first else second + 1]
        # If scores differ only by noise, the choice stays random, which spreads the load.
        return other if one.score(now_ms) > EQUAL_SCORE_RATIO * other.score(now_ms) else one

    def _choose_fallback(
        self, group: ReplicaGroup, tried: Collection[str], now_ms: float, long_running: bool
    ) -> SubqueryRoute | None:
        """Return a route if no replica is good. Cold upstreams come last, through slot holders."""
        untried = [replica for replica in group.replicas if replica.upstream_id not in tried]
        untried.sort(
            key=lambda replica: (self._is_known_cold(replica, now_ms), replica.is_suspected)
        )
        for replica in untried:
            route = self._route_to(replica, now_ms, long_running)
            if route is not None:
                return route
        return None

    def is_reachable(self, instance_id: str, now_ms: float) -> bool:
        """Return whether subqueries may be sent to an owner."""
        return self._membership.is_reachable(instance_id, now_ms)

    def _is_known_cold(self, replica: Replica, now_ms: float) -> bool:
        if replica.is_own:
            return not self._cold_start.takes_load(replica.upstream_id, now_ms)
        return now_ms < replica.cold_until_ms

    def _route_to(
        self, replica: Replica, now_ms: float, long_running: bool
    ) -> SubqueryRoute | None:
        upstream_id, owners = replica.upstream_id, replica.owners
        entry = self._view.upstreams[upstream_id].entry
        if self._is_known_cold(replica, now_ms):
            owners = owners[: entry.cold_allowance]
        if long_running:
            owners = tuple(name for name in owners if count_long_slots(entry, replica.owners, name))
        if self._instance_id in owners:
            return SubqueryRoute(upstream_id, None)
        for name in replica.ranked_owners:
            if name in owners and self._membership.is_reachable(name, now_ms):
                return SubqueryRoute(upstream_id, name)
        return None

    def _group_of(self, replicas: tuple[str, ...]) -> ReplicaGroup:
        group = self._groups.get(replicas)
        if group is None:
            group = self._groups[replicas] = self._build_group(replicas)
        return group

    def _build_group(self, replicas: tuple[str, ...]) -> ReplicaGroup:
        tiers: tuple[list[Replica], ...] = ([], [], [])
        own_region = self._region_of(self._data_centre)
        for upstream_id in replicas:
            if not self._view.is_usable(upstream_id):
                continue
            data_centre = self._view.upstreams[upstream_id].data_centre
            is_in_own_region = own_region is not None and self._region_of(data_centre) == own_region
            tier_index = 0 if data_centre == self._data_centre else 1 if is_in_own_region else 2
            tiers[tier_index].append(self._replica(upstream_id))
        return ReplicaGroup(tuple(tuple(tier) for tier in tiers))

    def _region_of(self, data_centre: str) -> str | None:
        document = self._view.data_centres.get(data_centre)
        return None if document is None else document.region

    def _replica(self, upstream_id: str) -> Replica:
        replica = self._replicas.get(upstream_id)
        if replica is None:
            owners = self._owners.owners_of(upstream_id)
            is_own = self._instance_id in owners
            # Each coordinator prefers owners in its own order. The subqueries of one tick then
            # go to half as many peers as with a random choice, and over all coordinators the
            # owners of an upstream still get equal shares.
            ranked = tuple(rank_by_rendezvous(self._instance_id, owners))
            replica = Replica(upstream_id, owners, ranked, is_own)
            self._replicas[upstream_id] = replica
        return replica
