"""Simulate the tail latency of a fan-out, with and without hedges."""

import numpy

QUERIES = 4_000
MEDIAN_MS = 4.0
SIGMA = 0.4
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 10.0
FAN_OUTS = (20, 200, 600, 1_200)
HEDGE_QUANTILES = (0.95, 0.98, 0.99)


def needed_quantile(shards: int) -> float:
    """Return the quantile of a server's latency that determines a query's p99."""
    return 0.99 ** (1.0 / shards)


def measure_tail(seed: int = 1) -> list[dict]:
    """Return the p99 latency of a query by shards, without hedges, with one and with two.

    Service times are lognormal; one answer in a hundred takes ten times as long. The second
    hedge follows the first after the same wait.
    """
    random = numpy.random.default_rng(seed)
    threshold = {
        quantile: float(numpy.quantile(_draw(random, (400_000,)), quantile))
        for quantile in HEDGE_QUANTILES
    }
    return [
        _measure_one(random, shards, quantile, threshold[quantile])
        for shards in FAN_OUTS
        for quantile in HEDGE_QUANTILES
    ]


def _measure_one(random, shards: int, quantile: float, wait_ms: float) -> dict:
    worst: dict[str, list] = {"none": [], "one": [], "two": []}
    hedged = hedged_twice = 0
    for _ in range(QUERIES):
        first, second, third = (_draw(random, (shards,)) for _ in range(3))
        late = first > wait_ms
        with_one = numpy.where(late, numpy.minimum(first, wait_ms + second), first)
        later = with_one > 2 * wait_ms
        with_two = numpy.where(later, numpy.minimum(with_one, 2 * wait_ms + third), with_one)
        hedged += int(late.sum())
        hedged_twice += int(later.sum())
        worst["none"].append(first.max())
        worst["one"].append(with_one.max())
        worst["two"].append(with_two.max())
    subqueries = QUERIES * shards
    return {
        "shards": shards,
        "hedge_quantile": quantile,
        "wait_ms": round(wait_ms, 2),
        "p99_none_ms": round(float(numpy.quantile(worst["none"], 0.99)), 1),
        "p99_one_ms": round(float(numpy.quantile(worst["one"], 0.99)), 1),
        "p99_two_ms": round(float(numpy.quantile(worst["two"], 0.99)), 1),
        "extra_one_share": round(hedged / subqueries, 4),
        "extra_two_share": round((hedged + hedged_twice) / subqueries, 4),
    }


def _draw(random, shape: tuple[int, ...]):
    times = random.lognormal(numpy.log(MEDIAN_MS), SIGMA, shape)
    is_straggler = random.random(shape) < STRAGGLER_SHARE
    return numpy.where(is_straggler, times * STRAGGLER_FACTOR, times)
