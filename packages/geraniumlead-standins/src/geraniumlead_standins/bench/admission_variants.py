"""Put variants of admission into an instance."""

from collections.abc import Callable

from geraniumlead.admission import AdmissionController
from geraniumlead.admission.fleet_shares import FleetShares
from geraniumlead.admission.hot_key_limiter import HotKeyLimiter
from geraniumlead.admission.service_pool import ServicePool
from geraniumlead.instance import Instance
from geraniumlead_standins.bench.aimd_limit import AimdLimit
from geraniumlead_standins.bench.plain_admission import PlainAdmission

Prepare = Callable[[Instance], None]


class NoShares(FleetShares):
    """Let every instance admit the whole contract."""

    __slots__ = ()

    def share_of(self, customer: str, now_ms: float) -> float:
        """Return the whole contract."""
        return 1.0


class NoHotKeys(HotKeyLimiter):
    """Let a key take all places."""

    __slots__ = ()

    def may_open(self, customer: str, key: str | None, limit: float) -> bool:
        """Return True."""
        return True


def use_module(instance: Instance) -> None:
    """Leave the module in place."""


def use_plain_admission(instance: Instance) -> None:
    """Replace the module by the first thin version."""
    _replace(instance, PlainAdmission)


def use_aimd_limit(instance: Instance) -> None:
    """Adapt the limit by the rival policy."""
    _replace(instance, AdmissionController, lambda: ServicePool(limit=AimdLimit()))


def use_no_key_bound(instance: Instance) -> None:
    """Let a hot key's requests wait instead of refusing them."""
    _replace(instance, AdmissionController, lambda: ServicePool(hot_keys=NoHotKeys()))


def use_whole_contract_everywhere(instance: Instance) -> None:
    """Enforce the contract on each instance by itself, without shares."""
    _replace(instance, AdmissionController)
    instance.parts.admission._shares = NoShares(instance.parts.settings.instance_id)


def _replace(instance: Instance, kind: type[AdmissionController], *arguments) -> None:
    parts = instance.parts
    settings = parts.settings
    parts.admission = kind(settings.limits, settings.instance_id, parts.random, *arguments)
