"""Define a part of a contract's limits that one instance lends to another."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ShareLease:
    """Lend a share (1.0 is the whole contract) until a time on the holder's own clock."""

    share: float
    until_ms: float
