"""Define what a demo runs and how it disturbs it."""

from dataclasses import dataclass
from pathlib import Path

from geraniumlead_standins.deployments import Deployment


@dataclass(slots=True, frozen=True)
class DemoPlan:
    """Hold the deployment, the time of the run and the seed.

    For ``start_s`` before ``duration_s`` callers send while no upstream is proven warm yet;
    these requests are judged like all others and counted in a table of their own.
    ``kill`` is None, instance, upstreams or platform: which process is killed without notice.
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
        """Return the data centre that is taken out and brought back."""
        return self.deployment.data_centres[-1]
