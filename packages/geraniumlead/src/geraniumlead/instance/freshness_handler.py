from geraniumlead.actions import Report
from geraniumlead.events import DocumentsReceived
from geraniumlead.instance.call_handler import CallHandler
from geraniumlead.instance.configuration_handler import ConfigurationHandler
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.instance.request_handler import RequestHandler
from geraniumlead.peer_messages import Probe, ProbeReply

LOCAL_PROBES = 3
REMOTE_PROBES = 2
"""Peers probed in one round: enough that no single dead or stale peer decides the result."""

EXPECTED_READERS_PER_ROUND = 2.0
"""Expected number of non-watchers in a data centre that read the platform in one round if all
of them were paused."""


class FreshnessHandler:
    """Confirms the view with peers and the platform, at the start and after a pause.

    New work is held until the view is confirmed.
    """

    __slots__ = ("_calls", "_configuration", "_parts", "_requests")

    def __init__(
        self,
        parts: InstanceParts,
        calls: CallHandler,
        requests: RequestHandler,
        configuration: ConfigurationHandler,
    ) -> None:
        self._parts = parts
        self._calls = calls
        self._requests = requests
        self._configuration = configuration

    def detect_pause(self, now_ms: float) -> None:
        """Start to confirm the view if the process was paused."""
        parts = self._parts
        if parts.freshness.detect_pause(now_ms):
            parts.actions.append(Report("view_stale_after_pause", {}, "warning"))
            self._calls.hold_unsent(now_ms)

    def handle_read(self, event: DocumentsReceived) -> None:
        """Process a response of the platform."""
        parts = self._parts
        parts.freshness.record_read(event.read_number, event.revision, parts.store.revision)

    def answer_probe(self, sender_id: str, message: Probe, now_ms: float) -> None:
        """Send a peer the revision in force on this instance; request the peer's if it is newer."""
        parts = self._parts
        if message.revision > parts.store.revision:
            self._configuration.request_documents(sender_id, message.revision, now_ms)
        is_fresh = parts.freshness.is_confirmed
        parts.send(sender_id, ProbeReply(message.nonce, parts.store.revision, is_fresh))

    def handle_reply(self, sender_id: str, message: ProbeReply, now_ms: float) -> None:
        """Process a peer's reply, and request newer documents from the peer."""
        parts = self._parts
        is_accepted = parts.freshness.record_reply(
            sender_id, message.nonce, message.revision, message.is_fresh
        )
        if is_accepted and (message.revision > parts.store.revision or parts.store.lacks_last_good):
            self._configuration.request_documents(sender_id, message.revision, now_ms)

    def run(self, now_ms: float) -> None:
        """Start the next round of probes if due, and release held work once it may be sent."""
        parts = self._parts
        if parts.freshness.is_confirmed:
            return
        if parts.freshness.begin_round_if_due(now_ms):
            self._send_probes()
        if parts.freshness.settle(parts.store.revision, now_ms):
            self._release_held_work(now_ms)

    def _send_probes(self) -> None:
        parts = self._parts
        targets = self._choose_probe_targets()
        for peer_id in targets:
            parts.send(peer_id, Probe(parts.freshness.nonce, parts.store.revision))
        if parts.is_configured:
            parts.freshness.record_probes(targets)
        if self._should_read_platform():
            self._configuration.read_platform()

    def _choose_probe_targets(self) -> list[str]:
        parts = self._parts
        own_data_centre = parts.settings.data_centre
        peers = list(parts.membership.peers.values())
        local = [peer.entry.instance_id for peer in peers if peer.data_centre == own_data_centre]
        remote = [peer.entry.instance_id for peer in peers if peer.data_centre != own_data_centre]
        return [
            *parts.random.sample(local, min(LOCAL_PROBES, len(local))),
            *parts.random.sample(remote, min(REMOTE_PROBES, len(remote))),
        ]

    def _should_read_platform(self) -> bool:
        # Watchers read immediately, as their watch may have ended during the pause. Other
        # instances read only if peers did not answer the first round, and not all at once.
        parts = self._parts
        if not parts.is_configured:
            return False
        if self._configuration.is_watching:
            return parts.freshness.rounds == 1
        share = EXPECTED_READERS_PER_ROUND / (1 + len(parts.membership.local_peers()))
        return parts.freshness.rounds > 1 and parts.random.random() < share

    def _release_held_work(self, now_ms: float) -> None:
        parts = self._parts
        confirmed = parts.freshness.is_confirmed
        fields = {"confirmed": confirmed, "revision": parts.store.revision}
        level = "info" if confirmed else "warning"
        parts.actions.append(Report("view_in_use", fields, level))
        parts.lifecycle.start_serving()
        self._calls.release_held(now_ms)
        self._requests.release_held(now_ms)
