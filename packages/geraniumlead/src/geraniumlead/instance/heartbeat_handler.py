from msgspec.structs import replace

from geraniumlead.admission import EVERY_PEER
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.peer_messages import ANY_NONCE, Heartbeat, Probe

MAX_INDIVIDUAL_REPORTS = 16
"""Maximum number of peers that get a heartbeat because a share is lent to them, in addition to
those whose turn it is."""


class HeartbeatHandler:
    """Sends heartbeats at a fixed interval, and probes silent peers."""

    __slots__ = ("_parts", "_sequence", "due_ms")

    def __init__(self, parts: InstanceParts, now_ms: float) -> None:
        self._parts = parts
        self._sequence = 0
        self.due_ms = now_ms

    def send_if_due(self, now_ms: float, platform_age_ms: float | None) -> bool:
        """Send a heartbeat to the peers whose turn it is; return False if none is due."""
        if now_ms < self.due_ms:
            return False
        parts = self._parts
        interval_ms = parts.settings.timing.heartbeat_interval_ms
        self.due_ms = now_ms + interval_ms
        self._sequence += 1
        reports = parts.admission.build_demand_reports(now_ms)
        heartbeat = Heartbeat(
            incarnation=parts.incarnation,
            data_centre=parts.settings.data_centre,
            sequence=self._sequence,
            revision=parts.store.revision,
            ready=parts.is_ready,
            demand=reports[EVERY_PEER],
            platform_age_ms=platform_age_ms,
            digest=parts.store.digest,
            stopping=parts.lifecycle.is_stopping,
            sent_ms=now_ms,
            quarantine_digest=parts.quarantine.digest(now_ms),
        )
        targets = dict.fromkeys(parts.membership.next_heartbeat_targets(parts.random))
        targets |= dict.fromkeys(list(reports)[:MAX_INDIVIDUAL_REPORTS])
        for instance_id in targets:
            individual = reports.get(instance_id)
            parts.send(
                instance_id,
                heartbeat if individual is None else replace(heartbeat, demand=individual),
            )
        self._probe_silent_peers(interval_ms, now_ms)
        return True

    def _probe_silent_peers(self, interval_ms: float, now_ms: float) -> None:
        parts = self._parts
        for instance_id in parts.membership.next_probe_targets(interval_ms, now_ms):
            parts.send(instance_id, Probe(ANY_NONCE, parts.store.revision))
