"""Refuse quarantined requests, and exchange quarantines with peers."""

from geraniumlead.instance.parts import InstanceParts
from geraniumlead.peers import QuarantineNotice
from geraniumlead.quarantine import compute_fingerprint
from geraniumlead.requests import CallerRequest, NotRun, RefusalReason


class QuarantineHandler:
    """Tie the quarantine book to callers and peers."""

    __slots__ = ("_parts",)

    def __init__(self, parts: InstanceParts) -> None:
        self._parts = parts

    def refuse(self, request: CallerRequest, now_ms: float) -> NotRun | None:
        """Return the refusal of a quarantined request; None for every other."""
        book = self._parts.quarantine
        if not book.has_quarantined(now_ms):
            return None
        fingerprint = compute_fingerprint(request.customer, request.class_name, request.query)
        refused_ms = book.refused_ms(fingerprint, now_ms)
        if refused_ms <= 0.0:
            return None
        return NotRun(RefusalReason.QUARANTINED, refused_ms)

    def hear(self, notice: QuarantineNotice, now_ms: float) -> None:
        """Take over what a peer quarantined."""
        self._parts.quarantine.handle_notice(
            notice.fingerprint, notice.upstream_id, notice.remaining_ms, now_ms
        )

    def tell_peers(self, now_ms: float) -> None:
        """Tell every peer what was quarantined here since the last call."""
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
