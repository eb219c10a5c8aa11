"""Admit as the first thin version did: the baseline that the module is measured against."""

from geraniumlead.admission import AdmissionController, AdmissionDecision, Admitted, Refused
from geraniumlead.requests import CallerRequest, RefusalReason

RETRY_AFTER_MS = 500.0
MOST_OPEN = 10_000


class PlainAdmission(AdmissionController):
    """Admit all requests up to a fixed number of open ones, in order of arrival."""

    __slots__ = ("_open",)

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self._open: set[str] = set()

    def offer(self, request: CallerRequest, now_ms: float) -> AdmissionDecision:
        """Admit a request while fewer than ``MOST_OPEN`` are open."""
        if len(self._open) >= MOST_OPEN:
            return Refused(request, RefusalReason.QUEUE_FULL, RETRY_AFTER_MS)
        self._open.add(request.request_id)
        return Admitted(request)

    def release(self, request_id: str, now_ms: float, outcome=None) -> None:
        """Count a request that ended."""
        self._open.discard(request_id)
