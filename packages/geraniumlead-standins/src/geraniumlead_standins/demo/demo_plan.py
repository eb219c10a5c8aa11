from dataclasses import dataclass
from pathlib import Path

from geraniumlead_standins.deployments import Deployment


@dataclass(slots=True, frozen=True)
class DemoPlan:
    """The deployment that a demo runs, its duration, its seed and the process it kills.

    Callers send for ``start_s`` before ``duration_s`` begins, while no upstream is proven warm.
    Those requests are checked like all others but counted in a separate table. ``kill`` selects
    the process that is killed without notice: None, instance, upstreams or platform.
    """

    deployment: Deployment
    folder: Path
    base_port: int
    seed: int = 1
    duration_s: float = 20.0
    start_s: float = 4.0
    kill: str | None = None
    load_factor: float = 1.0
    distinct_queries: int = 0

    @property
    def moved_data_centre(self) -> str:
        """Return the data centre that is taken out of service and brought back."""
        return self.deployment.data_centres[-1]
