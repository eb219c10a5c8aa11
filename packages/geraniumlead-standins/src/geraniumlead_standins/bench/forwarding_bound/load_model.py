from dataclasses import dataclass
from random import Random

from geraniumlead_standins.bench.forwarding_bound.upstream_model import TimeInterval, UpstreamModel

REGIONS = {"noord-a": "noord", "midden-a": "midden", "zuid-a": "zuid"}
DATA_CENTRES = tuple(REGIONS)
OWN_DATA_CENTRE = "noord-a"
NEAR_ROUND_TRIP_MS = 1.0
PAUSE_MS = 250.0
PAUSE_EVERY_MS = 6_000.0
FAULT_FROM_MS = 8_000.0
FAULT_TO_MS = 16_000.0
WORK_SIGMA = 0.35
"""Sigma of the lognormal distribution of service times."""


@dataclass(frozen=True, slots=True)
class LoadModel:
    """The load, the upstreams and the fault of one comparison.

    ``queries_per_s`` is the rate of queries to this instance, ``background_per_s`` the rate of
    requests from other instances to each upstream. During the fault, ``slow_share`` of the
    upstreams are slow, and all upstreams of ``unresponsive_shards`` shards do not answer.
    """

    name: str
    shards: int = 20
    replicas: int = 2
    slots: int = 2
    queries_per_s: float = 18.0
    background_per_s: float = 8.0
    work_ms: float = 20.0
    goal_ms: float = 200.0
    min_share: float = 0.89
    seconds: float = 24.0
    far_round_trip_ms: float = 16.0
    slow_share: float = 0.0
    unresponsive_shards: int = 0

    @property
    def shard_names(self) -> list[str]:
        """Return the names of the shards."""
        return [f"shard-{number}" for number in range(self.shards)]

    def build_upstreams(self, seed: int) -> list[UpstreamModel]:
        """Return the upstreams of all shards; the same seed gives the same ones."""
        random = Random(f"{seed}/{self.name}/upstreams")
        upstreams = []
        for number, name in enumerate(self.shard_names):
            data_centres = random.sample(DATA_CENTRES * 2, self.replicas)
            upstreams += [
                self._build_upstream(random, number, f"{name}.{copy}", name, data_centre)
                for copy, data_centre in enumerate(data_centres)
            ]
        return upstreams

    def build_arrivals(self, seed: int) -> list[float]:
        """Return the arrival times of the queries, in milliseconds."""
        return self._arrivals(Random(f"{seed}/{self.name}/arrivals"), self.queries_per_s)

    def draw_work_ms(self, random: Random) -> float:
        """Return a random service time of an upstream for one request."""
        return self.work_ms * random.lognormvariate(0.0, WORK_SIGMA)

    def round_trip_ms(self, data_centre: str) -> float:
        """Return the round-trip time to a data centre."""
        return NEAR_ROUND_TRIP_MS if data_centre == OWN_DATA_CENTRE else self.far_round_trip_ms

    def _build_upstream(
        self, random: Random, number: int, upstream_id: str, service: str, data_centre: str
    ) -> UpstreamModel:
        fault = TimeInterval(FAULT_FROM_MS, FAULT_TO_MS)
        first_ms = random.uniform(0.0, PAUSE_EVERY_MS)
        pauses = []
        while first_ms < self.seconds * 1000.0:
            pauses.append(TimeInterval(first_ms, first_ms + PAUSE_MS))
            first_ms += PAUSE_EVERY_MS * random.uniform(0.8, 1.2)
        background = [
            (at_ms, self.draw_work_ms(random))
            for at_ms in self._arrivals(random, self.background_per_s)
        ]
        return UpstreamModel(
            upstream_id=upstream_id,
            service=service,
            data_centre=data_centre,
            slots=self.slots,
            pauses=pauses,
            slow=[fault] if random.random() < self.slow_share else [],
            unresponsive=[fault] if number < self.unresponsive_shards else [],
            background=background,
        )

    def _arrivals(self, random: Random, per_s: float) -> list[float]:
        arrivals_ms, at_ms = [], 0.0
        while (at_ms := at_ms + random.expovariate(per_s) * 1000.0) < self.seconds * 1000.0:
            arrivals_ms.append(at_ms)
        return arrivals_ms
