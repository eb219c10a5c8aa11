"""Limit the load on upstreams that are cold or may be."""

from geraniumlead.cold_start.cold_start_guard import ColdStartGuard
from geraniumlead.cold_start.slot_holders import SlotHolders
from geraniumlead.cold_start.upstream_warmth import UpstreamWarmth
from geraniumlead.cold_start.view_confirmation import ViewConfirmation
from geraniumlead.cold_start.warmth_phase import WarmthPhase

__all__ = [
    "ColdStartGuard",
    "SlotHolders",
    "UpstreamWarmth",
    "ViewConfirmation",
    "WarmthPhase",
]
