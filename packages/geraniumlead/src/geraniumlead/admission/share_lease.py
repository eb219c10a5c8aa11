from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ShareLease:
    """A share of a contract (1.0 is all of it) that one instance lends to another.

    ``until_ms`` is a time on the clock of the instance that stores the lease.
    """

    share: float
    until_ms: float
