"""Reference decisions for the same queries: with perfect knowledge, and without any knowledge."""

from collections.abc import Callable
from math import ceil
from random import Random

from geraniumlead_standins.bench.forwarding_bound.credit import Credit
from geraniumlead_standins.bench.forwarding_bound.load_model import LoadModel
from geraniumlead_standins.bench.forwarding_bound.upstream_model import UpstreamModel

EPSILON = 1e-9

Choose = Callable[[list[UpstreamModel], Callable[[UpstreamModel], float]], UpstreamModel]


def run_oracle(load: LoadModel, seed: int) -> Credit:
    """Send each subrequest once, to the upstream whose answer will arrive first.

    It knows all pauses, slow and unresponsive intervals and queues, but processes the queries in
    their order. So its credit is the maximum without holding back a query for a later one.
    """
    return _run(load, seed, lambda upstreams, returned_ms: min(upstreams, key=returned_ms))


def run_plain(load: LoadModel, seed: int) -> Credit:
    """Send each subrequest once, to a random upstream.

    At the latency goal it answers with the shards that have arrived if these are enough, and
    otherwise late, as soon as they are enough.
    """
    replica_random = Random(f"{seed}/{load.name}/lots")
    return _run(load, seed, lambda upstreams, _: replica_random.choice(upstreams))


def _run(load: LoadModel, seed: int, choose: Choose) -> Credit:
    credit = Credit()
    work_random = Random(f"{seed}/{load.name}/work")
    by_service: dict[str, list[UpstreamModel]] = {}
    for upstream in load.build_upstreams(seed):
        by_service.setdefault(upstream.service, []).append(upstream)
    min_answers = ceil(load.min_share * load.shards - EPSILON)
    for now_ms in load.build_arrivals(seed):
        done_ms = sorted(
            _send(load, by_service[name], now_ms, work_random, choose) for name in load.shard_names
        )
        in_time = sum(at_ms <= now_ms + load.goal_ms for at_ms in done_ms)
        if in_time >= min_answers:
            credit.add(in_time / load.shards, is_late=False)
        elif done_ms[min_answers - 1] < float("inf"):
            credit.add(min_answers / load.shards, is_late=True)
        else:
            credit.add_failed()
    return credit


def _send(
    load: LoadModel,
    upstreams: list[UpstreamModel],
    now_ms: float,
    work_random: Random,
    choose: Choose,
) -> float:
    """Send one subrequest; return when its answer arrives."""
    work_ms = load.draw_work_ms(work_random)

    def returned_ms(upstream: UpstreamModel) -> float:
        round_trip_ms = load.round_trip_ms(upstream.data_centre)
        return upstream.would_finish_ms(now_ms + round_trip_ms / 2.0, work_ms) + round_trip_ms / 2.0

    chosen = choose(upstreams, returned_ms)
    round_trip_ms = load.round_trip_ms(chosen.data_centre)
    return chosen.finish_ms(now_ms + round_trip_ms / 2.0, work_ms) + round_trip_ms / 2.0
