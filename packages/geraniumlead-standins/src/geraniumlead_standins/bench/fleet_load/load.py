"""The load of a simulated fleet: its index, its queries and the processor time of its work."""

from dataclasses import dataclass
from random import Random

from geraniumlead.published_upstreams import UpstreamRecord
from geraniumlead.routes import (
    FanOut,
    PublishedConfiguration,
    Route,
    RouteTable,
    UpstreamService,
)
from geraniumlead_standins.bench.forwarding_bound.upstream_model import TimeInterval, UpstreamModel

HOST = "search.example"
REGIONS = {
    "noord-a": "noord",
    "midden-a": "midden",
    "zuid-a": "zuid",
    "noord-b": "noord",
    "midden-b": "midden",
    "zuid-b": "zuid",
}
DATA_CENTRES = tuple(REGIONS)
SLOTS = 2
MAX_CONNECTIONS = 120
WORK_SIGMA = 0.35
"""Sigma of the lognormal distribution of service times."""

SWEEP_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class ProcessorCosts:
    """Processor time of each kind of work, in milliseconds of a whole core.

    ``new_connection_ms`` and ``reused_connection_ms`` are the costs of sending a subrequest, on a
    connection that has to be opened and on an idle one.
    """

    query_ms: float = 0.8
    message_ms: float = 0.3
    reused_connection_ms: float = 0.3
    new_connection_ms: float = 0.7
    answer_ms: float = 0.2
    timer_ms: float = 0.05


@dataclass(frozen=True, slots=True)
class QueryKind:
    """A kind of query, with the name, latency goal and timeout of its route.

    ``min_share`` is the smallest share of the shards with which the route answers, and ``work_ms``
    the median service time of one subrequest.
    """

    name: str
    goal_ms: float
    wait_ms: float
    min_share: float
    work_ms: float

    @property
    def path(self) -> str:
        """Return the prefix of the route."""
        return f"/{self.name}/"


SWEEP = QueryKind("sweep", 436.0, 1_500.0, 0.95, 30.0)
PEEK = QueryKind("peek", 163.0, 800.0, 0.85, 10.0)


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """The parameters of one run.

    All instances start at 0, and queries arrive from ``first_ms`` to ``end_ms``. Each shard has
    two upstreams, in two of the three regions. During the burst the rate of queries is
    ``burst_factor`` times as high. ``core_share`` is the share of a core that an instance has.
    During the fault ``slow_share`` of the upstreams are slow. From its start on, ``dead_share`` of
    the instances send nothing more, and callers use the others.
    """

    instances: int = 18
    shards: int = 87
    core_share: float = 0.5
    queries_per_s: float = 12.0
    first_ms: float = 8_000.0
    end_ms: float = 28_000.0
    burst: TimeInterval | None = None
    burst_factor: float = 1.0
    fault: TimeInterval | None = None
    slow_share: float = 0.0
    dead_share: float = 0.0
    extra_slack: float = 430.0
    pause_ms: float = 300.0
    pause_every_ms: float = 7_500.0
    costs: ProcessorCosts = ProcessorCosts()

    @property
    def shard_names(self) -> list[str]:
        """Return the names of the shards."""
        return [f"shard-{number}" for number in range(self.shards)]

    def data_centre_of(self, number: int) -> str:
        """Return the data centre of an instance."""
        return DATA_CENTRES[number % len(DATA_CENTRES)]

    def one_way_ms(self, first: str, second: str) -> float:
        """Return the one-way delay of a message between two data centres."""
        if first == second:
            return 0.1
        return 0.7 if REGIONS[first] == REGIONS[second] else 20.0

    def build_upstreams(self, random: Random) -> list[UpstreamModel]:
        """Return the two upstreams of every shard."""
        upstreams = []
        for number, name in enumerate(self.shard_names):
            for copy in range(2):
                data_centre = DATA_CENTRES[(number + copy) % len(DATA_CENTRES)]
                pauses = self._build_pauses(random)
                slow = self._build_slow(random)
                upstreams.append(
                    UpstreamModel(f"{name}.{copy}", name, data_centre, SLOTS, pauses, slow)
                )
        return upstreams

    def choose_dead(self, random: Random) -> set[int]:
        """Return the numbers of the instances that the fault kills."""
        return set(random.sample(range(self.instances), int(self.dead_share * self.instances)))

    def build_configuration(self) -> PublishedConfiguration:
        """Return one route for each kind of query."""
        routes = [self._build_route(kind) for kind in (SWEEP, PEEK)]
        services = {name: UpstreamService(name, MAX_CONNECTIONS, 0.0) for name in self.shard_names}
        return PublishedConfiguration(1, RouteTable(routes), services)

    def build_queries(self, random: Random, dead: set[int]) -> list[tuple[float, int, QueryKind]]:
        """Return the arrival time, the instance number and the kind of each query."""
        queries, at_ms = [], self.first_ms
        living = [number for number in range(self.instances) if number not in dead]
        while at_ms < self.end_ms:
            kind = SWEEP if random.random() < SWEEP_SHARE else PEEK
            is_after = self.fault is not None and at_ms >= self.fault.from_ms
            instance = random.choice(living) if is_after else random.randrange(self.instances)
            queries.append((at_ms, instance, kind))
            is_burst = self.burst is not None and self.burst.contains(at_ms)
            factor = self.burst_factor if is_burst else 1.0
            at_ms += random.expovariate(self.queries_per_s * factor) * 1_000.0
        return queries

    def _build_pauses(self, random: Random) -> list[TimeInterval]:
        pauses, at_ms = [], random.uniform(0.0, self.pause_every_ms)
        while at_ms < self.end_ms + 2_000.0:
            pauses.append(TimeInterval(at_ms, at_ms + self.pause_ms))
            at_ms += self.pause_every_ms * random.uniform(0.8, 1.2)
        return pauses

    def _build_slow(self, random: Random) -> list[TimeInterval]:
        is_slow = random.random() < self.slow_share
        return [self.fault] if is_slow and self.fault is not None else []

    def _build_route(self, kind: QueryKind) -> Route:
        return Route(
            name=kind.name,
            host=HOST,
            prefix=kind.path,
            target=FanOut(tuple(self.shard_names), 5, kind.min_share),
            is_idempotent=True,
            timeout_ms=kind.wait_ms,
            latency_goal_ms=kind.goal_ms,
            priority=1,
            max_upstreams=2,
            allowed_regions=frozenset(),
        )


def build_record(model: UpstreamModel) -> UpstreamRecord:
    """Return the published record of an upstream."""
    return UpstreamRecord(
        model.upstream_id, model.service, model.upstream_id, model.data_centre, SLOTS, True
    )


def draw_work_ms(kind: QueryKind, random: Random) -> float:
    """Return a random service time of an upstream for one subrequest."""
    return kind.work_ms * random.lognormvariate(0.0, WORK_SIGMA)
