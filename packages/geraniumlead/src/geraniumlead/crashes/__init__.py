"""Find out which requests crash upstreams, and let a whole fleet know."""

from geraniumlead.crashes.crash_gossip import CrashGossip
from geraniumlead.crashes.crash_record import Crash, CrashRecord
from geraniumlead.crashes.crash_tracker import CrashTracker
from geraniumlead.crashes.lost_processes import (
    UnansweredAttempt,
    UnansweredAttempts,
    hash_lost_process,
    hash_process,
)

__all__ = [
    "Crash",
    "CrashGossip",
    "CrashRecord",
    "CrashTracker",
    "UnansweredAttempt",
    "UnansweredAttempts",
    "hash_lost_process",
    "hash_process",
]
