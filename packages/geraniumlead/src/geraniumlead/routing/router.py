"""Choose where a subquery goes."""

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
from geraniumlead.routing.route import Route
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
"""Time for which an upstream that an owner called cold is reached through slot holders only."""

DISTRUST_SHARE = 0.6
"""Part of the replicas in use up to which suspicions are believed.

It is above one half, as one of two replicas of every shard may be lost with a rack: a single
chance suspicion more would then send half of the load back to the lost ones.
"""

SAME_SCORE = 1.5
"""Ratio up to which two replicas count as equal."""

BUSY_IN_FLIGHT = 3
"""Calls in flight from here at which a replica counts as busy; a share of one slot holds one."""

PROBE_INTERVAL_MS = 500.0
"""Time between probes of a suspected replica: recovery shows within a second."""


class Router:
    """Choose a near replica with a short expected wait, and the owner that reaches it.

    Load pattern: some replicas are slower or busier than others. Sending in turn makes the
    slowest replica of each shard set the latency; sending to the best known one makes all
    instances rush at it. Two random choices, compared by calls in flight times latency
    seen, avoid both (Mitzenmacher, 2001; Prequal, NSDI 2024). If more than three in five
    replicas in use look bad, the fault is probably this instance's own, so suspicions are
    ignored and the load is spread.
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
        """Take over a new view; what was seen of the upstreams that stay is kept."""
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
        only_good: bool = False,
    ) -> Route | None:
        """Return the best way to one of ``replicas`` that was not tried, or None.

        With ``only_good`` a replica that looks bad is not taken for want of a better one.
        """
        group = self._group_of(replicas)
        for tier in group.tiers:
            good = []
            for replica in tier:
                if replica.upstream_id in tried or self._looks_bad(replica, now_ms):
                    continue
                if not self._is_known_cold(replica, now_ms):
                    good.append(replica)
                elif replica.is_own and self._has_free_cold_slot(replica, now_ms):
                    # A free cold slot is used first: that is how the upstream gets warm.
                    return Route(replica.upstream_id, None)
            idle = self._find_idle_suspect(tier, good, tried, now_ms)
            while good:
                replica = idle or self._pick(good, now_ms)
                idle = None
                route = self._route_to(replica, now_ms, long_running)
                if route is not None:
                    return route
                if replica in good:
                    good.remove(replica)
        if only_good:
            return None
        return self._choose_last_resort(group, tried, now_ms, long_running)

    def _find_idle_suspect(
        self,
        tier: Collection[Replica],
        good: list[Replica],
        tried: Collection[str],
        now_ms: float,
    ) -> Replica | None:
        """Return a suspected replica that is idle while all good ones are busy.

        Under overload answers are late because calls wait, and a suspicion then takes half of
        a shard's capacity away. One call at a time shows whether the replica is slow.
        """
        if not self._suspected or not good:
            return None
        if min(replica.in_flight for replica in good) < BUSY_IN_FLIGHT:
            return None
        for replica in tier:
            is_idle = replica.is_suspected and replica.in_flight == 0
            if is_idle and replica.upstream_id not in tried and now_ms >= replica.avoid_until_ms:
                return None if self._is_known_cold(replica, now_ms) else replica
        return None

    def take_probe(
        self, replicas: tuple[str, ...], tried: Collection[str], now_ms: float
    ) -> Route | None:
        """Return the way to a suspected replica that is due for a probe.

        A replica that gets nothing can't be seen to recover. The probe is sent beside the
        normal subquery, so no caller waits for it.
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

    def note_sent(self, upstream_id: str) -> None:
        """Count a subquery that is under way."""
        self._replica(upstream_id).in_flight += 1

    def note_answer(
        self, upstream_id: str, answer: UpstreamAnswer, latency_ms: float, now_ms: float
    ) -> None:
        """Learn from the end of a subquery."""
        replica = self._replicas.get(upstream_id)
        if replica is None:
            return
        replica.in_flight -= 1
        match answer:
            case Records(cold=True):
                replica.overdue_in_row = 0
            case Records():
                self._note_records(replica, latency_ms, now_ms)
            case Cold():
                replica.cold_until_ms = now_ms + COLD_HINT_MS
            case TimedOut(silent_connection=True):
                pass
            case NotReached() | Draining() | ConnectionLost() | TimedOut() | UpstreamError():
                replica.note_failure(now_ms)
            case Shed(retry_after_ms=retry_after_ms):
                replica.avoid_until_ms = now_ms + min(retry_after_ms, COLD_HINT_MS)

    def note_cancelled(self, upstream_id: str, elapsed_ms: float, now_ms: float) -> None:
        """Count a subquery that was cancelled."""
        replica = self._replicas.get(upstream_id)
        if replica is not None:
            replica.in_flight -= 1
            replica.note_at_least(elapsed_ms, now_ms)

    def note_overdue(self, upstream_id: str, now_ms: float) -> None:
        """Count a subquery whose answer is late; suspect the replica after some in a row."""
        replica = self._replicas.get(upstream_id)
        if replica is None:
            return
        replica.overdue_in_row += 1
        if replica.overdue_in_row >= SUSPECT_AFTER_OVERDUE and not replica.is_suspected:
            replica.is_suspected = True
            replica.probe_due_ms = now_ms + PROBE_INTERVAL_MS
            self._suspected.add(upstream_id)

    def suspected(self) -> set[str]:
        """Return the upstreams that answer late."""
        return self._suspected

    def _note_records(self, replica: Replica, latency_ms: float, now_ms: float) -> None:
        if replica.is_suspected:
            others = [
                other.latency_ms
                for other in self._replicas.values()
                if other.latency_ms and not other.is_suspected
            ]
            typical_ms = sorted(others)[len(others) // 2] if others else latency_ms
            if latency_ms > SUSPECT_AFTER_OVERDUE * typical_ms:
                return
            replica.is_suspected = False
            replica.latency_ms = latency_ms
            self._suspected.discard(replica.upstream_id)
        replica.note_latency(latency_ms, now_ms)

    def _looks_bad(self, replica: Replica, now_ms: float) -> bool:
        if now_ms < replica.avoid_until_ms:
            return True
        most = DISTRUST_SHARE * len(self._replicas)
        return replica.is_suspected and len(self._suspected) <= most

    def _has_free_cold_slot(self, replica: Replica, now_ms: float) -> bool:
        return self._dispatcher.has_free_cold_slot(replica.upstream_id, now_ms)

    def _pick(self, good: list[Replica], now_ms: float) -> Replica:
        count = len(good)
        if count == 1:
            return good[0]
        first = int(self._random.random() * count)
        second = int(self._random.random() * (count - 1))
        one, other = good[first], good[second if second < first else second + 1]
        # Scores that differ by noise only leave the choice to chance, which spreads load.
        return other if one.score(now_ms) > SAME_SCORE * other.score(now_ms) else one

    def _choose_last_resort(
        self, group: ReplicaGroup, tried: Collection[str], now_ms: float, long_running: bool
    ) -> Route | None:
        """Use what looks bad when nothing looks good; cold upstreams through their holders."""
        left = [replica for replica in group.replicas if replica.upstream_id not in tried]
        left.sort(key=lambda replica: (self._is_known_cold(replica, now_ms), replica.is_suspected))
        for replica in left:
            route = self._route_to(replica, now_ms, long_running)
            if route is not None:
                return route
        return None

    def reaches(self, instance_id: str, now_ms: float) -> bool:
        """Return whether work may be sent to an owner."""
        return self._membership.is_reachable(instance_id, now_ms)

    def _is_known_cold(self, replica: Replica, now_ms: float) -> bool:
        if replica.is_own:
            return not self._cold_start.takes_load(replica.upstream_id, now_ms)
        return now_ms < replica.cold_until_ms

    def _route_to(self, replica: Replica, now_ms: float, long_running: bool) -> Route | None:
        upstream_id, owners = replica.upstream_id, replica.owners
        entry = self._view.upstreams[upstream_id].entry
        if self._is_known_cold(replica, now_ms):
            owners = owners[: entry.cold_allowance]
        if long_running:
            owners = tuple(name for name in owners if count_long_slots(entry, replica.owners, name))
        if self._instance_id in owners:
            return Route(upstream_id, None)
        for name in replica.ranked_owners:
            if name in owners and self._membership.is_reachable(name, now_ms):
                return Route(upstream_id, name)
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
            is_near = own_region is not None and self._region_of(data_centre) == own_region
            place = 0 if data_centre == self._data_centre else 1 if is_near else 2
            tiers[place].append(self._replica(upstream_id))
        return ReplicaGroup(tuple(tuple(tier) for tier in tiers))

    def _region_of(self, data_centre: str) -> str | None:
        document = self._view.data_centres.get(data_centre)
        return None if document is None else document.region

    def _replica(self, upstream_id: str) -> Replica:
        replica = self._replicas.get(upstream_id)
        if replica is None:
            owners = self._owners.owners_of(upstream_id)
            is_own = self._instance_id in owners
            # Each coordinator prefers owners in an order of its own: the subqueries of one tick
            # then go to half as many peers as with a random pick, and over all coordinators
            # an upstream's owners still get equal parts.
            ranked = tuple(rank_by_rendezvous(self._instance_id, owners))
            replica = Replica(upstream_id, owners, ranked, is_own)
            self._replicas[upstream_id] = replica
        return replica
