"""Confirm the view after a pause and at the start, and hold new work until then."""

from geraniumlead.actions import Report
from geraniumlead.events import DocumentsReceived
from geraniumlead.instance.call_handler import CallHandler
from geraniumlead.instance.configuration_handler import ConfigurationHandler
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.instance.request_handler import RequestHandler
from geraniumlead.peers import Probe, ProbeReply

LOCAL_PROBES = 3
REMOTE_PROBES = 2
"""Peers asked in one round: enough that one dead or stale peer does not decide alone."""

UNHURRIED_READERS_PER_ROUND = 2.0
"""Instances of a data centre that read the platform in one round when all were paused."""


class FreshnessHandler:
    """Ask peers and the platform, and release the held work once they have answered."""

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

    def note_time(self, now_ms: float) -> None:
        """Begin to confirm the view when the process had been paused."""
        parts = self._parts
        if parts.freshness.note_time(now_ms):
            parts.actions.append(Report("view_stale_after_pause", {}, "warning"))
            self._calls.hold_unsent(now_ms)

    def take_read(self, event: DocumentsReceived) -> None:
        """Take in that the platform answered."""
        parts = self._parts
        parts.freshness.take_read(event.read_number, event.revision, parts.store.revision)

    def answer_probe(self, sender_id: str, message: Probe, now_ms: float) -> None:
        """Tell a peer which configuration is in force here, and ask for one that is newer."""
        parts = self._parts
        if message.revision > parts.store.revision:
            self._configuration.ask(sender_id, message.revision, now_ms)
        is_fresh = parts.freshness.is_confirmed
        parts.send(sender_id, ProbeReply(message.nonce, parts.store.revision, is_fresh))

    def take_reply(self, sender_id: str, message: ProbeReply, now_ms: float) -> None:
        """Take in a peer's answer, and ask for what is news here."""
        parts = self._parts
        taken = parts.freshness.take_reply(
            sender_id, message.nonce, message.revision, message.is_fresh
        )
        if taken and (message.revision > parts.store.revision or parts.store.lacks_last_good):
            self._configuration.ask(sender_id, message.revision, now_ms)

    def run(self, now_ms: float) -> None:
        """Ask another round when it is due, and release the held work once it may go."""
        parts = self._parts
        if parts.freshness.is_confirmed:
            return
        if parts.freshness.is_round_due(now_ms):
            self._ask()
        if parts.freshness.settle(parts.store.revision, now_ms):
            self._release(now_ms)

    def _ask(self) -> None:
        parts = self._parts
        asked = self._choose_peers()
        for peer_id in asked:
            parts.send(peer_id, Probe(parts.freshness.nonce, parts.store.revision))
        if parts.is_configured:
            parts.freshness.note_asked(asked)
        if self._reads_now():
            self._configuration.read_anew()

    def _choose_peers(self) -> list[str]:
        parts = self._parts
        home = parts.settings.data_centre
        peers = list(parts.membership.peers.values())
        local = [peer.entry.instance_id for peer in peers if peer.data_centre == home]
        remote = [peer.entry.instance_id for peer in peers if peer.data_centre != home]
        return [
            *parts.random.sample(local, min(LOCAL_PROBES, len(local))),
            *parts.random.sample(remote, min(REMOTE_PROBES, len(remote))),
        ]

    def _reads_now(self) -> bool:
        # Watchers read at once: their watch may have died in the pause. The others ask the
        # platform only when peers did not answer the first round, and not all together.
        parts = self._parts
        if not parts.is_configured:
            return False
        if self._configuration.watching:
            return parts.freshness.rounds == 1
        share = UNHURRIED_READERS_PER_ROUND / (1 + len(parts.membership.local_peers()))
        return parts.freshness.rounds > 1 and parts.random.random() < share

    def _release(self, now_ms: float) -> None:
        parts = self._parts
        confirmed = parts.freshness.is_confirmed
        fields = {"confirmed": confirmed, "revision": parts.store.revision}
        level = "info" if confirmed else "warning"
        parts.actions.append(Report("view_in_use", fields, level))
        parts.lifecycle.note_configured()
        self._calls.release(now_ms)
        self._requests.release_held(now_ms)
