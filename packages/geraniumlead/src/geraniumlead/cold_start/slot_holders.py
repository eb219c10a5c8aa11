from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.ownership.owners import OwnerTable

MAX_COLD_CALL_MS = 2_000.0
"""Maximum duration of an idempotent call to a cold upstream. A new slot holder waits this long.

Cold answers are slower than warm ones, but after two seconds it is better to try another
replica. A non-idempotent call keeps its whole deadline, because its outcome would be unknown
otherwise.
"""


class SlotHolders:
    """The instances that may call an upstream while it is cold, with one call at a time each.

    Load pattern: several owners see an upstream restart, and their lists of instances differ
    in age. If each took a share according to the instances that seem alive, the shares would
    add up to more than the allowance, and every suspected failure of an instance would
    overload the upstream.

    The first ``cold_allowance`` owners in rendezvous order hold one slot each, whether or not
    they seem alive. An instance uses its slot only after it has had the same revision of the
    list for ``list_lag_ms`` and the duration of the service's longest call. By then every
    instance has this revision or a newer one. Calls that an older revision allowed have ended,
    even if their process was paused or isolated and could not cancel them. Calls that overlap
    were therefore started by slot holders of the same revision, of which there are at most
    ``cold_allowance``.
    """

    __slots__ = ("_list_lag_ms", "_list_revision", "_longest_call_ms", "_owners", "_usable_from_ms")

    def __init__(self, list_lag_ms: float) -> None:
        self._list_lag_ms = list_lag_ms
        self._list_revision = -1
        self._usable_from_ms = float("inf")
        self._owners = OwnerTable(ClusterView())
        self._longest_call_ms: dict[str, float] = {}

    def update(
        self, view: ClusterView, owners: OwnerTable, list_revision: int, now_ms: float
    ) -> None:
        """Apply a view. A new revision of the list restarts the wait."""
        self._owners = owners
        self._longest_call_ms = _find_longest_calls(view)
        if list_revision != self._list_revision:
            self._list_revision = list_revision
            self.restart_wait(now_ms)

    def restart_wait(self, now_ms: float) -> None:
        """Restart the wait, because the view may be old."""
        self._usable_from_ms = now_ms + self._list_lag_ms

    def usable_from_ms(self, service: str) -> float:
        """Return when this instance may use its cold slots for a service."""
        return self._usable_from_ms + self._longest_call_ms.get(service, 0.0)

    @property
    def all_usable_from_ms(self) -> float:
        """Return when this instance may use its cold slots for every service."""
        return self._usable_from_ms + max(self._longest_call_ms.values(), default=0.0)

    def holders_of(self, upstream_id: str, cold_allowance: int) -> tuple[str, ...]:
        """Return the instances that hold a cold slot of an upstream."""
        return self._owners.owners_of(upstream_id)[:cold_allowance]


def _find_longest_calls(view: ClusterView) -> dict[str, float]:
    longest: dict[str, float] = {}
    for contract in view.contracts.values():
        for traffic_class in contract.classes:
            call_ms = float(traffic_class.deadline_ms)
            if traffic_class.idempotent:
                call_ms = min(call_ms, MAX_COLD_CALL_MS)
            service = traffic_class.service
            longest[service] = max(longest.get(service, 0.0), call_ms)
    return longest
