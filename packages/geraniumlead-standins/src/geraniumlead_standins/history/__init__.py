"""Record, read and check histories of concurrent runs."""

from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.event import HistoryEvent
from geraniumlead_standins.history.history import History
from geraniumlead_standins.history.record_seen import RecordSeen
from geraniumlead_standins.history.recorder import MemoryRecorder
from geraniumlead_standins.history.violation import Violation
from geraniumlead_standins.history.writer import HistoryWriter

__all__ = [
    "CheckResult",
    "History",
    "HistoryEvent",
    "HistoryWriter",
    "MemoryRecorder",
    "RecordSeen",
    "Violation",
]
