"""Hold every point against every failure, with its safeguard off and on."""

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
    """Sum up the runs of one point under one failure; ``examples`` are of the safeguard on."""

    runs: int = 0
    operations: int = 0
    broken_without: int | None = None
    broken_with: int = 0
    failing_seeds: list[int] = field(default_factory=list)
    examples: list[str] = field(default_factory=list)


Table = dict[tuple[str, str], Cell]


def run_with_safeguards(table: Table, label: str, scenarios: Iterable[Scenario]) -> None:
    """Run scenarios with all safeguards on, and check every point."""
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
    """Run scenarios once for each point, without that point's safeguard."""
    for scenario in scenarios:
        for invariant, without_safeguard in ABLATIONS.items():
            with without_safeguard():
                history = scenario.run()
            cell = table.setdefault((label, invariant), Cell())
            cell.broken_without = (cell.broken_without or 0) + len(
                CHECKS[invariant](history).violations
            )


def single_failures(seeds: Iterable[int]) -> Iterator[tuple[str, list[Scenario]]]:
    """Return a run for each failure and seed, and one without any."""
    seeds = list(seeds)
    yield "none", [Scenario(seed) for seed in seeds]
    for name in FAILURES:
        yield name, [Scenario(seed, (name,)) for seed in seeds]


def draw_pairs(seed: int, count: int) -> list[Scenario]:
    """Draw pairs of different failures."""
    pairs = Random(seed).sample(list(combinations(FAILURES, 2)), count)
    return [Scenario(seed + number, pair) for number, pair in enumerate(pairs)]


def failures_twice(seed: int) -> list[Scenario]:
    """Return every failure twice in one run."""
    return [Scenario(seed + number, (name, name)) for number, name in enumerate(FAILURES)]
