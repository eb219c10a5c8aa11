"""Write and read histories of concurrent runs."""

from geraniumlead_standins.history.writer import HistoryWriter

__all__ = ["HistoryWriter"]
