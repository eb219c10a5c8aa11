from geraniumlead.admission import AdmissionController, AdmissionDecision, Admitted, Refused
from geraniumlead.requests import CallerRequest, RefusalReason

RETRY_AFTER_MS = 500.0
MAX_OPEN_REQUESTS = 10_000


class PlainAdmission(AdmissionController):
    """Admission with only a fixed limit on open requests: the baseline of comparisons.

    Requests are admitted in the order of arrival.
    """

    __slots__ = ("_open",)

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self._open: set[str] = set()

    def offer(self, request: CallerRequest, now_ms: float) -> AdmissionDecision:
        """Admit a request while fewer than ``MAX_OPEN_REQUESTS`` are open."""
        if len(self._open) >= MAX_OPEN_REQUESTS:
            return Refused(request, RefusalReason.QUEUE_FULL, RETRY_AFTER_MS)
        self._open.add(request.request_id)
        return Admitted(request)

    def release(self, request_id: str, now_ms: float, outcome=None) -> None:
        """Remove a request that ended."""
        self._open.discard(request_id)
