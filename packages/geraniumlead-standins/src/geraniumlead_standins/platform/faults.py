"""Define the faults that a test puts on the platform."""

from msgspec import Struct


class PlatformFaults(Struct, kw_only=True, forbid_unknown_fields=True):
    """Set what goes wrong from now on; what is left out works.

    ``down`` refuses calls and ends watches. ``silent_watches`` keeps them open and says
    nothing. ``stale_revision`` serves an old copy. ``over_budget`` answers 429.
    ``slow_ms`` delays each answer. ``lists_lag`` hides newer lists of instances.
    ``restore_revision`` goes back to a backup, once.
    """

    down: bool = False
    silent_watches: bool = False
    over_budget: bool = False
    lists_lag: bool = False
    slow_ms: float = 0.0
    stale_revision: int | None = None
    restore_revision: int | None = None
