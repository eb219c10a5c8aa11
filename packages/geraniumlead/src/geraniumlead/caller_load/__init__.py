"""Decide which callers' connections are refused or closed when they press on an instance."""

from geraniumlead.caller_load.arrival_queue import ArrivalQueue
from geraniumlead.caller_load.caller_account import CallerAccount, PlaceChanges
from geraniumlead.caller_load.caller_limits import CallerLimits
from geraniumlead.caller_load.held_memory import HeldMemory
from geraniumlead.caller_load.parse_turns import ParseTurns
from geraniumlead.caller_load.refusal_cause import RefusalCause
from geraniumlead.caller_load.request_size import RequestSize
from geraniumlead.caller_load.start_order import StartOrder
from geraniumlead.caller_load.waiting_connections import WaitingConnections

__all__ = [
    "ArrivalQueue",
    "CallerAccount",
    "CallerLimits",
    "HeldMemory",
    "ParseTurns",
    "PlaceChanges",
    "RefusalCause",
    "RequestSize",
    "StartOrder",
    "WaitingConnections",
]
