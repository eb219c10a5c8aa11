"""Replace the crash guard of an instance by variants of it."""

from geraniumlead.coordination import CrashGuard
from geraniumlead.instance import Instance
from geraniumlead.planning import QueryPlan
from geraniumlead.quarantine import CanaryPlan, CanaryPlanner


class NoGuard(CrashGuard):
    """A guard that sends every query to all shards and allows retries of lost subqueries."""

    __slots__ = ()

    def plan_canary(self, plan: QueryPlan, fingerprint: int) -> CanaryPlan | None:
        """Return None."""
        return None

    def record_connection_loss(self, query, upstream_id, open_queries, now_ms) -> bool:
        """Return True."""
        return True


class NoCanary(CrashGuard):
    """A guard with strikes and quarantine, but without canaries."""

    __slots__ = ()

    def plan_canary(self, plan: QueryPlan, fingerprint: int) -> CanaryPlan | None:
        """Return None."""
        return None


def use_no_guard(instance: Instance) -> None:
    """Replace the crash guard by none, the baseline."""
    _replace(instance, NoGuard)


def use_no_canary(instance: Instance) -> None:
    """Replace the crash guard by one without canaries, the alternative policy."""
    _replace(instance, NoCanary)


def _replace(instance: Instance, guard_class: type[CrashGuard]) -> None:
    parts = instance.parts
    planner = CanaryPlanner(parts.settings.data_centre)
    parts.coordinator.guard = guard_class(parts.quarantine, planner)
