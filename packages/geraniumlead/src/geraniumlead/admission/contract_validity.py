from dataclasses import dataclass
from datetime import UTC, datetime

from geraniumlead.documents.contract import ContractDocument


@dataclass(slots=True, frozen=True)
class ContractValidity:
    """The validity period of a contract in seconds since the epoch. None means unbounded."""

    from_s: float | None
    until_s: float | None

    @classmethod
    def from_contract(cls, contract: ContractDocument) -> "ContractValidity":
        """Parse the dates of a contract. A malformed date is treated as unbounded."""
        return cls(_parse_instant(contract.valid_from), _parse_instant(contract.valid_until))

    def is_valid(self, wall_now_s: float | None) -> bool:
        """Return whether the contract is valid. It counts as valid while the time is unknown."""
        if wall_now_s is None:
            return True
        if self.from_s is not None and wall_now_s < self.from_s:
            return False
        return self.until_s is None or wall_now_s < self.until_s

    def starts_in_s(self, wall_now_s: float | None) -> float | None:
        """Return the time until the contract starts; None after that or if the time is unknown."""
        if wall_now_s is None or self.from_s is None or wall_now_s >= self.from_s:
            return None
        return self.from_s - wall_now_s


def _parse_instant(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        instant = datetime.fromisoformat(text)
    except ValueError:
        return None
    if instant.tzinfo is None:
        instant = instant.replace(tzinfo=UTC)
    return instant.timestamp()
