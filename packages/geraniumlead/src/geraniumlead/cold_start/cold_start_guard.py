from geraniumlead.cold_start.slot_holders import MAX_COLD_CALL_MS, SlotHolders
from geraniumlead.cold_start.upstream_warmth import SETTLE_MS, UpstreamWarmth
from geraniumlead.cold_start.view_confirmation import ViewConfirmation
from geraniumlead.cold_start.warmth_phase import WarmthPhase
from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.documents.upstream_entry import UpstreamEntry
from geraniumlead.ownership.owners import OwnerTable
from geraniumlead.settings.timing import TimingSettings
from geraniumlead.upstreams.answers import UpstreamAnswer

RECHECK_MS = 100.0
"""Interval after which an unconfirmed view is checked again."""


class ColdStartGuard:
    """Limits the calls in flight from this instance to upstreams that are not known to be warm.

    Limitation: an upstream that turns cold without a connection reset still has calls that
    were started while it was warm, up to its number of slots. They are cancelled at the first
    sign: the first cold answer at one owner, and its notice at the others. Until then each
    owner may start calls up to its warm limit.
    """

    __slots__ = (
        "_confirmation",
        "_instance_id",
        "_last_tick_ms",
        "_pause_gap_ms",
        "_slot_holders",
        "_warmth",
        "can_serve",
    )

    def __init__(
        self, instance_id: str, timing: TimingSettings, confirmation: ViewConfirmation
    ) -> None:
        self._instance_id = instance_id
        self._pause_gap_ms = timing.pause_gap_ms
        self._slot_holders = SlotHolders(timing.list_lag_ms)
        self._confirmation = confirmation
        self._warmth: dict[str, UpstreamWarmth] = {}
        self._last_tick_ms = float("inf")
        self.can_serve = False

    def update(
        self, view: ClusterView, owners: OwnerTable, list_revision: int, now_ms: float
    ) -> None:
        """Apply a view and reset the state of upstreams that are removed or not usable.

        An upstream that was leaving, or whose data centre was out, may have been restarted
        meanwhile. If it still counted as warm when it returns, its first calls would overload
        it.
        """
        self._slot_holders.update(view, owners, list_revision, now_ms)
        for upstream_id in self._warmth.keys() - view.upstreams.keys():
            del self._warmth[upstream_id]
        for upstream_id, warmth in self._warmth.items():
            if not view.is_usable(upstream_id):
                warmth.record_unusable(now_ms)

    def tick(self, now_ms: float) -> None:
        """Record that the process runs. After a gap, a pause is assumed and the view may be old."""
        if now_ms - self._last_tick_ms > self._pause_gap_ms:
            self._slot_holders.restart_wait(now_ms)
        self._last_tick_ms = now_ms
        # Until its cold slots are usable, a new instance can only refuse, because its upstreams
        # are unproven. It reports not ready, so that the load balancer chooses other instances.
        if not self.can_serve:
            self.can_serve = now_ms >= self._slot_holders.all_usable_from_ms

    def warmth_of(self, upstream_id: str) -> UpstreamWarmth:
        """Return the warmth of an upstream."""
        warmth = self._warmth.get(upstream_id)
        if warmth is None:
            warmth = self._warmth[upstream_id] = UpstreamWarmth()
        return warmth

    def takes_load(self, upstream_id: str, now_ms: float) -> bool:
        """Return whether every owner may call the upstream, and not its slot holders alone."""
        warmth = self._warmth.get(upstream_id)
        if warmth is None:
            return False
        warmth.expire_proof(now_ms)
        return warmth.takes_load

    def holds_slot(self, entry: UpstreamEntry) -> bool:
        """Return whether this instance holds a cold slot of the upstream."""
        return self._instance_id in self.holders_of(entry)

    def holders_of(self, entry: UpstreamEntry) -> tuple[str, ...]:
        """Return the instances that may call the upstream while it is cold."""
        return self._slot_holders.holders_of(entry.upstream_id, entry.cold_allowance)

    def max_in_flight(self, entry: UpstreamEntry, warm_limit: int, now_ms: float) -> int:
        """Return how many calls this instance may have in flight to the upstream now."""
        warmth = self.warmth_of(entry.upstream_id)
        warmth.expire_proof(now_ms)
        match warmth.phase:
            case WarmthPhase.WARM:
                return warm_limit
            case WarmthPhase.WARMING:
                return min(warmth.limit, warm_limit)
        if not self.holds_slot(entry) or now_ms < self.ready_ms(entry):
            return 0
        return 1 if self._confirmation.is_confirmed(now_ms) else 0

    def bound_call_ms(self, upstream_id: str, remaining_ms: float, now_ms: float) -> float:
        """Return the timeout of an idempotent call."""
        if self.takes_load(upstream_id, now_ms):
            return remaining_ms
        return min(remaining_ms, MAX_COLD_CALL_MS)

    def ready_ms(self, entry: UpstreamEntry) -> float:
        """Return the earliest time at which this instance may use its cold slot."""
        warmth = self.warmth_of(entry.upstream_id)
        return max(warmth.ready_ms, self._slot_holders.usable_from_ms(entry.service))

    def record_answer(
        self,
        entry: UpstreamEntry,
        answer: UpstreamAnswer,
        started_ms: float,
        warm_limit: int,
        now_ms: float,
    ) -> WarmthPhase | None:
        """Record an answer. Return the phase to send to the other owners, if any."""
        warmth = self.warmth_of(entry.upstream_id)
        return warmth.record_answer(answer, started_ms, warm_limit, now_ms)

    def record_aborted_call(self, entry: UpstreamEntry, now_ms: float) -> None:
        """Give the upstream time to notice that a call was cancelled or timed out."""
        warmth = self.warmth_of(entry.upstream_id)
        if not warmth.takes_load:
            warmth.ready_ms = max(warmth.ready_ms, now_ms + SETTLE_MS)

    def record_disconnect(self, upstream_id: str, now_ms: float) -> WarmthPhase | None:
        """Record the loss of all connections as a sign of a cold start. Return COLD on a change."""
        return self.warmth_of(upstream_id).record_cold(now_ms)

    def handle_owner_notice(self, upstream_id: str, phase: str, now_ms: float) -> None:
        """Handle the phase that another owner has observed."""
        warmth = self.warmth_of(upstream_id)
        if phase == WarmthPhase.COLD:
            warmth.record_cold(now_ms)
        elif phase == WarmthPhase.WARM:
            warmth.record_reported_warm(now_ms)
            self.can_serve = self.can_serve or warmth.takes_load

    def phases(self) -> dict[str, WarmthPhase]:
        """Return the phase of each upstream that was used, for status reports."""
        return {upstream_id: warmth.phase for upstream_id, warmth in self._warmth.items()}

    def warm_upstreams(self, now_ms: float) -> list[str]:
        """Return the upstreams that were recently observed to be warm, for a new peer."""
        return [name for name in self._warmth if self.takes_load(name, now_ms)]
