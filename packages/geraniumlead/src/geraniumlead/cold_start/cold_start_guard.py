"""Say how many calls at once this instance may have at an upstream."""

from geraniumlead.cold_start.slot_holders import COLD_CALL_MOST_MS, SlotHolders
from geraniumlead.cold_start.upstream_warmth import SETTLE_MS, UpstreamWarmth
from geraniumlead.cold_start.view_confirmation import ViewConfirmation
from geraniumlead.cold_start.warmth_phase import WarmthPhase
from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.documents.upstream_entry import UpstreamEntry
from geraniumlead.ownership.owners import OwnerTable
from geraniumlead.settings.timing import TimingSettings
from geraniumlead.upstreams.answers import UpstreamAnswer

RECHECK_MS = 100.0
"""Wait before a view that was not confirmed is looked at again."""


class ColdStartGuard:
    """Hold the warmth of this instance's upstreams and its cold slots.

    What can't be avoided: an upstream that turns cold without a reset has up to its slots in
    calls that were started while it was warm. They are cancelled with the first sign, which
    is the first cold answer to any owner and a notice to the others; until then an owner
    may start as many as its warm share.
    """

    __slots__ = (
        "_confirmation",
        "_holders",
        "_instance_id",
        "_pause_gap_ms",
        "_ticked_ms",
        "_warmth",
        "can_serve",
    )

    def __init__(
        self, instance_id: str, timing: TimingSettings, confirmation: ViewConfirmation
    ) -> None:
        self._instance_id = instance_id
        self._pause_gap_ms = timing.pause_gap_ms
        self._holders = SlotHolders(timing.list_lag_ms)
        self._confirmation = confirmation
        self._warmth: dict[str, UpstreamWarmth] = {}
        self._ticked_ms = float("inf")
        self.can_serve = False

    def update(
        self, view: ClusterView, owners: OwnerTable, list_revision: int, now_ms: float
    ) -> None:
        """Take over a view; forget upstreams that are gone or come back.

        An upstream that was leaving, or whose data centre was out, may have been restarted
        meanwhile. Taken for as warm as it was, it would fall over under its first calls.
        """
        self._holders.update(view, owners, list_revision, now_ms)
        for upstream_id in self._warmth.keys() - view.upstreams.keys():
            del self._warmth[upstream_id]
        for upstream_id, warmth in self._warmth.items():
            if not view.is_usable(upstream_id):
                warmth.note_away(now_ms)

    def tick(self, now_ms: float) -> None:
        """Note that the process runs; a gap means that it was paused, with an old view."""
        if now_ms - self._ticked_ms > self._pause_gap_ms:
            self._holders.hold_back(now_ms)
        self._ticked_ms = now_ms
        # Before this a new instance could only refuse: its upstreams are unproven and its slots
        # not usable yet. Unready, it lets the balancer choose others that can serve.
        if not self.can_serve:
            self.can_serve = now_ms >= self._holders.all_usable_from_ms

    def warmth_of(self, upstream_id: str) -> UpstreamWarmth:
        """Return the state machine of an upstream."""
        warmth = self._warmth.get(upstream_id)
        if warmth is None:
            warmth = self._warmth[upstream_id] = UpstreamWarmth()
        return warmth

    def takes_load(self, upstream_id: str, now_ms: float) -> bool:
        """Return whether every owner may call the upstream."""
        warmth = self._warmth.get(upstream_id)
        if warmth is None:
            return False
        warmth.note_idle(now_ms)
        return warmth.takes_load

    def holds_slot(self, entry: UpstreamEntry) -> bool:
        """Return whether this instance holds one of the cold slots."""
        return self._instance_id in self.holders_of(entry)

    def holders_of(self, entry: UpstreamEntry) -> tuple[str, ...]:
        """Return the instances that may call the upstream while it is cold."""
        return self._holders.holders_of(entry.upstream_id, entry.cold_allowance)

    def most_in_flight(self, entry: UpstreamEntry, warm_limit: int, now_ms: float) -> int:
        """Return the calls that this instance may have at the upstream now."""
        warmth = self.warmth_of(entry.upstream_id)
        warmth.note_idle(now_ms)
        match warmth.phase:
            case WarmthPhase.WARM:
                return warm_limit
            case WarmthPhase.WARMING:
                return min(warmth.limit, warm_limit)
        if not self.holds_slot(entry) or now_ms < self.ready_ms(entry):
            return 0
        return 1 if self._confirmation.is_confirmed(now_ms) else 0

    def bound_call_ms(self, upstream_id: str, remaining_ms: float, now_ms: float) -> float:
        """Return the time that an idempotent call may take."""
        if self.takes_load(upstream_id, now_ms):
            return remaining_ms
        return min(remaining_ms, COLD_CALL_MOST_MS)

    def ready_ms(self, entry: UpstreamEntry) -> float:
        """Return when this instance's cold slot may be used at the earliest."""
        warmth = self.warmth_of(entry.upstream_id)
        return max(warmth.ready_ms, self._holders.usable_from_ms(entry.service))

    def note_answer(
        self,
        entry: UpstreamEntry,
        answer: UpstreamAnswer,
        started_ms: float,
        warm_limit: int,
        now_ms: float,
    ) -> WarmthPhase | None:
        """Take in an answer; return what the other owners have to be told."""
        warmth = self.warmth_of(entry.upstream_id)
        return warmth.note_answer(answer, started_ms, warm_limit, now_ms)

    def note_cut_off(self, entry: UpstreamEntry, now_ms: float) -> None:
        """Leave the upstream time to notice that a call was cancelled or timed out."""
        warmth = self.warmth_of(entry.upstream_id)
        if not warmth.takes_load:
            warmth.ready_ms = max(warmth.ready_ms, now_ms + SETTLE_MS)

    def note_disconnected(self, upstream_id: str, now_ms: float) -> WarmthPhase | None:
        """Take the loss of all connections for a sign; return COLD when this is news."""
        return self.warmth_of(upstream_id).note_cold(now_ms)

    def note_told(self, upstream_id: str, phase: str, now_ms: float) -> None:
        """Take in what another owner saw."""
        warmth = self.warmth_of(upstream_id)
        if phase == WarmthPhase.COLD:
            warmth.note_cold(now_ms)
        elif phase == WarmthPhase.WARM:
            warmth.note_told_warm(now_ms)
            self.can_serve = self.can_serve or warmth.takes_load

    def phases(self) -> dict[str, WarmthPhase]:
        """Return the phase of every upstream that was used, for status."""
        return {upstream_id: warmth.phase for upstream_id, warmth in self._warmth.items()}

    def warm_upstreams(self, now_ms: float) -> list[str]:
        """Return the upstreams that were shown warm lately, for a new peer."""
        return [name for name in self._warmth if self.takes_load(name, now_ms)]
