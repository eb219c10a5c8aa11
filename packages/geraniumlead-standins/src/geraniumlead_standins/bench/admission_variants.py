"""Put variants of admission into an instance."""

from collections.abc import Callable

from geraniumlead.admission import AdmissionController
from geraniumlead.instance import Instance
from geraniumlead_standins.bench.plain_admission import PlainAdmission

Prepare = Callable[[Instance], None]


def use_plain_admission(instance: Instance) -> None:
    """Replace the module by the baseline."""
    parts = instance.parts
    parts.admission = PlainAdmission(
        parts.settings.limits, parts.settings.instance_id, parts.random
    )


def use_module(instance: Instance) -> None:
    """Leave the module in place."""
    assert isinstance(instance.parts.admission, AdmissionController)
