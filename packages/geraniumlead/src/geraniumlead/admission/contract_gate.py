"""Enforce this instance's share of one contract."""

from geraniumlead.admission.contract_validity import ContractValidity
from geraniumlead.admission.token_bucket import TokenBucket
from geraniumlead.documents.contract import ContractDocument
from geraniumlead.documents.traffic_class import TrafficClass


class ContractGate:
    """Hold a contract and what of its limits is used here.

    Rate, burst and concurrent requests shrink with the share. Each instance keeps at least
    one token and one place, or a small contract on a large fleet could nowhere be served;
    the fleet's sums then are at most the contract's figure and one for each instance.
    """

    __slots__ = ("_bucket", "classes", "contract", "open_requests", "validity")

    def __init__(self, contract: ContractDocument, share: float, now_ms: float) -> None:
        self.replace(contract)
        self.open_requests = 0
        self._bucket = TokenBucket(self._burst(share), now_ms)

    def replace(self, contract: ContractDocument) -> None:
        """Take over a changed contract; what is used of it stays."""
        self.contract = contract
        self.classes: dict[str, TrafficClass] = {found.name: found for found in contract.classes}
        self.validity = ContractValidity.from_contract(contract)

    def take_token(self, share: float, now_ms: float) -> bool:
        """Take a token of the rate; False when the share is used up."""
        return self._bucket.take(self.contract.rate_per_s * share, self._burst(share), now_ms)

    def give_token_back(self) -> None:
        """Return the token of a request that is refused for another reason."""
        self._bucket.give_back()

    def has_place(self, share: float) -> bool:
        """Return whether one more request may be open."""
        return self.open_requests < max(1, int(self.contract.concurrent_requests * share))

    def _burst(self, share: float) -> float:
        return max(1.0, self.contract.burst_requests * share)
