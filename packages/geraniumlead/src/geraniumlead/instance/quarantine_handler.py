from geraniumlead.instance.parts import InstanceParts
from geraniumlead.peer_messages import QuarantineNotice
from geraniumlead.quarantine import compute_fingerprint
from geraniumlead.requests import CallerRequest, NotRun, RefusalReason


class QuarantineHandler:
    """Refuses quarantined requests and exchanges quarantines with peers."""

    __slots__ = ("_parts",)

    def __init__(self, parts: InstanceParts) -> None:
        self._parts = parts

    def find_refusal(self, request: CallerRequest, now_ms: float) -> NotRun | None:
        """Return the refusal of a quarantined request, or None if it is not quarantined."""
        quarantine = self._parts.quarantine
        if not quarantine.has_quarantined(now_ms):
            return None
        fingerprint = compute_fingerprint(request.customer, request.class_name, request.query)
        refused_ms = quarantine.refused_ms(fingerprint, now_ms)
        if refused_ms <= 0.0:
            return None
        return NotRun(RefusalReason.QUARANTINED, refused_ms)

    def handle_notice(self, notice: QuarantineNotice, now_ms: float) -> None:
        """Apply a quarantine that a peer announced."""
        self._parts.quarantine.handle_notice(
            notice.fingerprint, notice.upstream_id, notice.remaining_ms, now_ms
        )

    def notify_peers(self, now_ms: float) -> None:
        """Send every peer the quarantines that this instance began since the last call."""
        parts = self._parts
        for fingerprint, upstream_id in parts.quarantine.drain_notices():
            notice = QuarantineNotice(
                fingerprint=fingerprint,
                strikes=parts.quarantine.strikes(fingerprint),
                remaining_ms=parts.quarantine.remaining_ms(fingerprint, now_ms),
                upstream_id=upstream_id,
            )
            for instance_id in parts.membership.peers:
                parts.send(instance_id, notice)
