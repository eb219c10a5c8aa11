"""Send signs of life, and end the process when its graceful stop is done."""

from msgspec.structs import replace

from geraniumlead.actions import StopNow
from geraniumlead.admission import EVERY_PEER
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.peers import Goodbye, Heartbeat


class HeartbeatHandler:
    """Beat at a steady interval."""

    __slots__ = ("_parts", "_sequence", "due_ms")

    def __init__(self, parts: InstanceParts, now_ms: float) -> None:
        self._parts = parts
        self._sequence = 0
        self.due_ms = now_ms

    def beat_if_due(self, now_ms: float, platform_age_ms: float | None) -> bool:
        """Send a heartbeat to every listed peer; False when the interval has not passed."""
        if now_ms < self.due_ms:
            return False
        parts = self._parts
        self.due_ms = now_ms + parts.settings.timing.heartbeat_interval_ms
        self._sequence += 1
        reports = parts.admission.report(now_ms)
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
        )
        for instance_id in parts.membership.peers:
            own = reports.get(instance_id)
            parts.send(instance_id, heartbeat if own is None else replace(heartbeat, demand=own))
        open_requests = len(parts.coordinator)
        if parts.lifecycle.may_exit(open_requests, now_ms):
            parts.actions.append(StopNow(open_requests))
        return True

    def begin_stop(self, now_ms: float) -> None:
        """Begin the graceful stop and tell the peers."""
        if not self._parts.lifecycle.ask_stop(now_ms):
            return
        for instance_id in self._parts.membership.peers:
            self._parts.send(instance_id, Goodbye(self._parts.incarnation))
