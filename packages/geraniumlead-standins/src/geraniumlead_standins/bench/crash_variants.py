"""Put variants of the crash guard into an instance."""

from geraniumlead.coordination import CrashGuard
from geraniumlead.instance import Instance
from geraniumlead.planning import QueryPlan
from geraniumlead.quarantine import CanaryPlan, CanaryPlanner


class NoGuard(CrashGuard):
    """Send every query everywhere and retry what was lost."""

    __slots__ = ()

    def plan_canary(self, plan: QueryPlan, fingerprint: int) -> CanaryPlan | None:
        """Return None."""
        return None

    def record_connection_loss(self, query, upstream_id, open_queries, now_ms) -> bool:
        """Return True."""
        return True


class NoCanary(CrashGuard):
    """Strike and quarantine, but send every query everywhere at once."""

    __slots__ = ()

    def plan_canary(self, plan: QueryPlan, fingerprint: int) -> CanaryPlan | None:
        """Return None."""
        return None


def use_no_guard(instance: Instance) -> None:
    """Replace the module by the baseline."""
    _replace(instance, NoGuard)


def use_no_canary(instance: Instance) -> None:
    """Replace the module by the rival policy."""
    _replace(instance, NoCanary)


def _replace(instance: Instance, kind: type[CrashGuard]) -> None:
    parts = instance.parts
    planner = CanaryPlanner(parts.settings.data_centre)
    parts.coordinator.guard = kind(parts.quarantine, planner)
