"""Decide from published data which instances may call a cold upstream."""

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.ownership.owners import OwnerTable

COLD_CALL_MOST_MS = 2_000.0
"""Bound of an idempotent call to a cold upstream, which a new slot holder waits out.

Cold answers are slower than warm ones, but one that takes two seconds is better tried at
another replica. A non-idempotent call keeps its whole deadline, as its outcome would be
unknown otherwise.
"""


class SlotHolders:
    """Split an upstream's cold allowance among its owners, one call at once for each holder.

    Load pattern: several owners see an upstream restart, each with a list of instances of
    its own age. If each took a share by who seems alive, their shares would add up to more
    than the allowance, and the upstream would fall over with every suspicion.

    The first ``cold_allowance`` owners in rendezvous order hold one call each, whether or
    not they seem alive. An instance uses its slot only when it has held the same revision
    of the list for ``list_lag_ms`` and the longest call of the service. Then every instance
    holds this revision or a newer one, and what an older one allowed has ended, even where
    its process was paused or cut off and could not cancel: so calls that overlap were
    started by holders of the same revision, who are at most ``cold_allowance`` in number.
    """

    __slots__ = ("_list_lag_ms", "_list_revision", "_longest_call_ms", "_owners", "_usable_ms")

    def __init__(self, list_lag_ms: float) -> None:
        self._list_lag_ms = list_lag_ms
        self._list_revision = -1
        self._usable_ms = float("inf")
        self._owners = OwnerTable(ClusterView())
        self._longest_call_ms: dict[str, float] = {}

    def update(
        self, view: ClusterView, owners: OwnerTable, list_revision: int, now_ms: float
    ) -> None:
        """Take over a view; a new revision of the list starts the wait again."""
        self._owners = owners
        self._longest_call_ms = _find_longest_calls(view)
        if list_revision != self._list_revision:
            self._list_revision = list_revision
            self.hold_back(now_ms)

    def hold_back(self, now_ms: float) -> None:
        """Start the wait again, because the view may be old."""
        self._usable_ms = now_ms + self._list_lag_ms

    def usable_from_ms(self, service: str) -> float:
        """Return when this instance may use its slots of a service's upstreams."""
        return self._usable_ms + self._longest_call_ms.get(service, 0.0)

    @property
    def all_usable_from_ms(self) -> float:
        """Return when this instance may use its slots of every service's upstreams."""
        return self._usable_ms + max(self._longest_call_ms.values(), default=0.0)

    def holders_of(self, upstream_id: str, cold_allowance: int) -> tuple[str, ...]:
        """Return the instances that hold a slot."""
        return self._owners.owners_of(upstream_id)[:cold_allowance]


def _find_longest_calls(view: ClusterView) -> dict[str, float]:
    longest: dict[str, float] = {}
    for contract in view.contracts.values():
        for traffic_class in contract.classes:
            call_ms = float(traffic_class.deadline_ms)
            if traffic_class.idempotent:
                call_ms = min(call_ms, COLD_CALL_MOST_MS)
            service = traffic_class.service
            longest[service] = max(longest.get(service, 0.0), call_ms)
    return longest
