"""Replace the admission of an instance by variants of it."""

from collections.abc import Callable

from geraniumlead.admission import AdmissionController
from geraniumlead.admission.fleet_shares import FleetShares
from geraniumlead.admission.hot_key_limiter import HotKeyLimiter
from geraniumlead.admission.service_pool import ServicePool
from geraniumlead.instance import Instance
from geraniumlead_standins.bench.aimd_limit import AimdLimit
from geraniumlead_standins.bench.plain_admission import PlainAdmission

ApplyVariant = Callable[[Instance], None]
"""Changes the parts of an instance before a run, to measure a variant."""


class NoShares(FleetShares):
    """Fleet shares that let every instance admit the whole contract."""

    __slots__ = ()

    def share_of(self, customer: str, now_ms: float) -> float:
        """Return 1.0, the whole contract."""
        return 1.0


class NoHotKeyLimit(HotKeyLimiter):
    """A hot key limiter that lets one key take all slots."""

    __slots__ = ()

    def may_open(self, customer: str, key: str | None, limit: float) -> bool:
        """Return True."""
        return True


def use_default(instance: Instance) -> None:
    """Keep the admission that the instance has by default."""


def use_plain_admission(instance: Instance) -> None:
    """Replace admission by a fixed limit on open requests."""
    _replace(instance, PlainAdmission)


def use_aimd_limit(instance: Instance) -> None:
    """Adapt the concurrency limit by additive increase and multiplicative decrease."""
    _replace(instance, AdmissionController, lambda: ServicePool(limit=AimdLimit()))


def use_no_hot_key_limit(instance: Instance) -> None:
    """Let requests for a hot key wait instead of refusing them."""
    _replace(instance, AdmissionController, lambda: ServicePool(hot_keys=NoHotKeyLimit()))


def use_whole_contract_everywhere(instance: Instance) -> None:
    """Let each instance enforce the whole contract on its own, without shares."""
    _replace(instance, AdmissionController)
    instance.parts.admission._shares = NoShares(instance.parts.settings.instance_id)


def _replace(instance: Instance, admission_class: type[AdmissionController], *arguments) -> None:
    parts = instance.parts
    settings = parts.settings
    parts.admission = admission_class(
        settings.limits, settings.instance_id, parts.random, *arguments
    )
