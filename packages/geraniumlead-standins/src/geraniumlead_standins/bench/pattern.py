from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module
from pkgutil import iter_modules

from msgspec import convert
from msgspec.structs import replace

from geraniumlead_standins.bench import patterns
from geraniumlead_standins.bench.result_row import ResultRow

DEFAULT_SEEDS = (1,)


@dataclass(slots=True, frozen=True)
class Pattern:
    """A load pattern: its name, its seeds and the function that runs it."""

    name: str
    seeds: tuple[int, ...]
    run: Callable[[int], list]

    @classmethod
    def find_all(cls) -> "list[Pattern]":
        """Return the patterns of the package ``patterns``, in the order of their modules' names."""
        names = sorted(module.name for module in iter_modules(patterns.__path__))
        modules = [import_module(f"{patterns.__name__}.{name}") for name in names]
        return [
            cls(module.NAME, tuple(getattr(module, "SEEDS", DEFAULT_SEEDS)), module.run)
            for module in modules
        ]

    def measure(self) -> list[ResultRow]:
        """Run the pattern once per seed and return all rows."""
        return [replace(_read_row(row), seed=seed) for seed in self.seeds for row in self.run(seed)]


def _read_row(row: ResultRow | dict) -> ResultRow:
    return row if isinstance(row, ResultRow) else convert(row, ResultRow)
