from geraniumlead.instance.parts import InstanceParts
from geraniumlead.peer_messages import Heartbeat, QuarantineNotice
from geraniumlead.quarantine import compute_fingerprint
from geraniumlead.requests import CallerRequest, NotRun, RefusalReason

MAX_REPEATED_NOTICES = 8
"""Maximum number of quarantines that one heartbeat of a peer is answered with, the latest ones. A
notice has some 60 bytes, and sixteen heartbeats come each half a second: 15 KB/s at most."""


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

    def handle_heartbeat(self, sender_id: str, heartbeat: Heartbeat, now_ms: float) -> None:
        """Tell a peer the quarantines if it has others.

        Failure: an instance has started, or was cut off, since the quarantine was announced, and
        the next request reaches it.
        """
        quarantine = self._parts.quarantine
        if heartbeat.quarantine_digest == quarantine.digest(now_ms):
            return
        for fingerprint in quarantine.quarantined(now_ms)[:MAX_REPEATED_NOTICES]:
            self._parts.send(sender_id, self._build_notice(fingerprint, "", now_ms))

    def notify_peers(self, now_ms: float) -> None:
        """Send every peer the quarantines that this instance began since the last call."""
        parts = self._parts
        for fingerprint, upstream_id in parts.quarantine.drain_notices():
            notice = self._build_notice(fingerprint, upstream_id, now_ms)
            for instance_id in parts.membership.peers:
                parts.send(instance_id, notice)

    def _build_notice(self, fingerprint: int, upstream_id: str, now_ms: float) -> QuarantineNotice:
        quarantine = self._parts.quarantine
        return QuarantineNotice(
            fingerprint=fingerprint,
            strikes=quarantine.strikes(fingerprint),
            remaining_ms=quarantine.remaining_ms(fingerprint, now_ms),
            upstream_id=upstream_id,
        )
