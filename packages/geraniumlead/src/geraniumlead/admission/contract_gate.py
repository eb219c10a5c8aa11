from geraniumlead.admission.contract_validity import ContractValidity
from geraniumlead.admission.token_bucket import TokenBucket
from geraniumlead.documents.contract import ContractDocument
from geraniumlead.documents.traffic_class import TrafficClass


class ContractGate:
    """Enforces this instance's share of the limits of one contract.

    Rate, burst and concurrent requests are scaled by the share. Each instance always allows a
    burst of one and one open request. Otherwise a small contract on a large fleet could not be
    served anywhere. The fleet's totals therefore exceed the contract by at most one for each
    instance.
    """

    __slots__ = ("_bucket", "classes", "contract", "open_requests", "validity")

    def __init__(self, contract: ContractDocument, share: float, now_ms: float) -> None:
        self.replace(contract)
        self.open_requests = 0
        self._bucket = TokenBucket(self._burst(share), now_ms)

    def replace(self, contract: ContractDocument) -> None:
        """Apply a changed contract. Tokens and open requests are kept."""
        self.contract = contract
        self.classes: dict[str, TrafficClass] = {found.name: found for found in contract.classes}
        self.validity = ContractValidity.from_contract(contract)

    def take_token(self, share: float, now_ms: float) -> bool:
        """Take a token of the rate limit. Return False if there is none."""
        return self._bucket.take(self.contract.rate_per_s * share, self._burst(share), now_ms)

    def return_token(self) -> None:
        """Give back the token of a request that is refused for another reason."""
        self._bucket.return_token()

    def has_capacity(self, share: float) -> bool:
        """Return whether one more request may be opened."""
        return self.open_requests < max(1, int(self.contract.concurrent_requests * share))

    def _burst(self, share: float) -> float:
        return max(1.0, self.contract.burst_requests * share)
