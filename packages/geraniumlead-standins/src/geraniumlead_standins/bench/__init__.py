"""Benchmarks of the decisions under load and faults, in virtual time."""

from geraniumlead_standins.bench.result_row import ResultRow

__all__ = ["ResultRow"]
