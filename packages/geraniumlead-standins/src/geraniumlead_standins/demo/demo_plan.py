"""Define what a demo runs and when it disturbs it."""

from dataclasses import dataclass
from pathlib import Path

from geraniumlead_standins.deployments import Deployment


@dataclass(slots=True, frozen=True)
class DemoPlan:
    """Hold the deployment, the times of the run and the seed.

    Times are seconds after the load has started. ``kill`` is None, instance, upstreams or
    platform: which process is killed without notice at ``kill_at_s``.
    """

    deployment: Deployment
    folder: Path
    base_port: int
    seed: int = 1
    duration_s: float = 20.0
    straggler_from_s: float = 3.0
    straggler_until_s: float = 7.0
    out_at_s: float = 9.0
    back_at_s: float = 14.0
    kill_at_s: float = 6.0
    kill: str | None = None
    load_factor: float = 1.0

    @property
    def moved_data_centre(self) -> str:
        """Return the data centre that is taken out and brought back."""
        return self.deployment.data_centres[-1]
