"""Check every invariant under every failure, with and without its safeguard."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import combinations
from random import Random

from geraniumlead_standins.histories.ablations import ABLATIONS
from geraniumlead_standins.histories.failures import FAILURES
from geraniumlead_standins.histories.scenario import Scenario
from geraniumlead_standins.history.checks import CHECKS


@dataclass(slots=True)
class Cell:
    """The totals of the runs of one invariant under one failure.

    ``broken_without`` and ``broken_with`` count violations without and with the invariant's
    safeguard. ``failing_seeds`` and ``examples`` are of runs with it.
    """

    runs: int = 0
    operations: int = 0
    broken_without: int | None = None
    broken_with: int = 0
    failing_seeds: list[int] = field(default_factory=list)
    examples: list[str] = field(default_factory=list)


Table = dict[tuple[str, str], Cell]


def run_with_safeguards(table: Table, label: str, scenarios: Iterable[Scenario]) -> None:
    """Run scenarios with all safeguards, and check every invariant."""
    for scenario in scenarios:
        history = scenario.run()
        for invariant, check in CHECKS.items():
            result, cell = check(history), table.setdefault((label, invariant), Cell())
            cell.runs += 1
            cell.operations += result.operations
            cell.broken_with += len(result.violations)
            if result.violations:
                cell.failing_seeds.append(scenario.seed)
                cell.examples += [found.detail for found in result.violations[:1]]


def run_without_safeguards(table: Table, label: str, scenarios: Iterable[Scenario]) -> None:
    """Run scenarios once for each invariant, without the safeguard of that invariant."""
    for scenario in scenarios:
        for invariant, without_safeguard in ABLATIONS.items():
            with without_safeguard():
                history = scenario.run()
            cell = table.setdefault((label, invariant), Cell())
            cell.broken_without = (cell.broken_without or 0) + len(
                CHECKS[invariant](history).violations
            )


def single_failures(seeds: Iterable[int]) -> Iterator[tuple[str, list[Scenario]]]:
    """Yield each failure with one scenario per seed, after ``none`` without failures."""
    seeds = list(seeds)
    yield "none", [Scenario(seed) for seed in seeds]
    for name in FAILURES:
        yield name, [Scenario(seed, (name,)) for seed in seeds]


def draw_pairs(seed: int, count: int) -> list[Scenario]:
    """Return random pairs of different failures."""
    pairs = Random(seed).sample(list(combinations(FAILURES, 2)), count)
    return [Scenario(seed + number, pair) for number, pair in enumerate(pairs)]


def failures_twice(seed: int) -> list[Scenario]:
    """Return one scenario per failure in which that failure comes twice."""
    return [Scenario(seed + number, (name, name)) for number, name in enumerate(FAILURES)]
