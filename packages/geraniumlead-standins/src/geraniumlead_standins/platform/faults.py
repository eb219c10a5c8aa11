from msgspec import Struct


class PlatformFaults(Struct, kw_only=True, forbid_unknown_fields=True):
    """The faults that a test sets on the platform; fields that are left out clear their fault.

    ``down`` refuses calls and ends watches. ``silent_watches`` keeps watches open but sends
    nothing. ``stale_revision`` serves the state of an old revision. ``over_budget`` answers 429.
    ``slow_ms`` delays each answer. ``lists_lag`` hides instance lists that are published after
    the fault is set. ``restore_revision`` restores a backup of that revision once.
    """

    down: bool = False
    silent_watches: bool = False
    over_budget: bool = False
    lists_lag: bool = False
    slow_ms: float = 0.0
    stale_revision: int | None = None
    restore_revision: int | None = None
