"""Offer requests to a bounded number of places."""

from geraniumlead.admission.decisions import AdmissionDecision, Admitted, Refused
from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.reasons import RefusalReason
from geraniumlead.settings.limits import LimitSettings

RETRY_AFTER_MS = 500.0


class AdmissionController:
    """Bound the open requests of this instance and of each contract."""

    __slots__ = ("_limits", "_open", "_open_by_customer", "_view")

    def __init__(self, limits: LimitSettings) -> None:
        self._limits = limits
        self._view = ClusterView()
        self._open: dict[str, str] = {}
        self._open_by_customer: dict[str, int] = {}

    def update(self, view: ClusterView) -> None:
        """Take over the contracts in force."""
        self._view = view

    def offer(self, request: CallerRequest, now_ms: float) -> AdmissionDecision:
        """Admit, queue or refuse a request."""
        contract = self._view.contracts.get(request.customer)
        if contract is None:
            return Refused(request, RefusalReason.CONTRACT_UNKNOWN, RETRY_AFTER_MS)
        running = self._open_by_customer.get(request.customer, 0)
        if running >= contract.concurrent_requests:
            return Refused(request, RefusalReason.CONCURRENCY, RETRY_AFTER_MS)
        if len(self._open) >= self._limits.open_requests:
            return Refused(request, RefusalReason.QUEUE_FULL, RETRY_AFTER_MS)
        self._open[request.request_id] = request.customer
        self._open_by_customer[request.customer] = running + 1
        return Admitted(request)

    def release(self, request_id: str, now_ms: float) -> None:
        """Give back the place of a request that has its outcome."""
        customer = self._open.pop(request_id, None)
        if customer is not None:
            self._open_by_customer[customer] -= 1

    def take_ready(self, now_ms: float) -> list[Admitted | Refused]:
        """Return queued requests that may start now or must be given up now."""
        return []

    def next_wake_ms(self) -> float | None:
        """Return when ``take_ready`` has to be called again at the latest."""
        return None
