from geraniumlead.actions import ReadPlatform, Report
from geraniumlead.configuration import DivergenceDetector, DocumentRequestLimiter, StoreChange
from geraniumlead.documents import DocumentKind, document_key
from geraniumlead.events import DocumentsReceived, PlatformReadFailed
from geraniumlead.instance.call_handler import CallHandler
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.membership import PlatformFreshness
from geraniumlead.ownership import OwnerTable
from geraniumlead.peer_messages import (
    ANY_NONCE,
    DocumentsRequest,
    DocumentsUpdate,
    Goodbye,
    Heartbeat,
    Probe,
)

ALL_REVISIONS = -1
MAX_PUSHED_BYTES = 8_192
"""Largest update that is sent to every local peer. The sender would hold a larger one in memory
once for each peer, and the first read of a new instance is the whole configuration."""

ANNOUNCED_PEERS = 8
"""Number of local peers that are notified of a larger update; each of them fetches it once and
notifies as many others."""

REREAD_INTERVAL_MS = 2_000.0
"""Minimum time between two reads that a watcher starts because its watch missed changes."""


class ConfigurationHandler:
    """Applies documents from the platform and peers and distributes them in the data centre."""

    __slots__ = (
        "_calls",
        "_divergence_detector",
        "_owners",
        "_parts",
        "_request_limiter",
        "_reread_ms",
        "is_watching",
        "platform_freshness",
    )

    def __init__(self, parts: InstanceParts, calls: CallHandler) -> None:
        self._parts = parts
        self._calls = calls
        self._divergence_detector = DivergenceDetector()
        self._owners = OwnerTable(parts.store.view)
        self._request_limiter = DocumentRequestLimiter()
        self._reread_ms = float("-inf")
        self.platform_freshness = PlatformFreshness(parts.random)
        self.is_watching = False

    def start(self) -> None:
        """Watch the platform until the list of instances determines the watchers."""
        self.is_watching = True
        self.read_platform()

    def read_platform(self) -> None:
        """Read the platform; the response carries the read number of the current confirmation."""
        number = self._parts.freshness.read_number
        self._parts.actions.append(ReadPlatform(watch=self.is_watching, read_number=number))

    def read_if_updates_stopped(self, now_ms: float) -> None:
        """Read the platform if no watcher or peer has recently received an answer from it."""
        local = 1 + len(self._parts.membership.local_peers())
        if self.platform_freshness.should_read(self.is_watching, local, now_ms):
            self.read_platform()

    def handle_documents(self, event: DocumentsReceived, now_ms: float) -> None:
        """Apply documents from the platform and send the accepted ones to local peers."""
        store = self._parts.store
        held_revision = store.revision
        change = store.apply(
            event.documents, event.revision, event.is_snapshot, event.above_revision
        )
        self._apply_change(change, now_ms)
        if change.stored:
            self._send_to_local_peers(DocumentsUpdate(store.revision, change.stored, held_revision))
        if event.revision < store.revision:
            # The response came from a stale replica of the platform, so newer documents may exist.
            self._handle_stale_read(event.revision, now_ms)
        elif event.revision > store.revision:
            self._reread(now_ms)
        else:
            self.platform_freshness.record_answer(now_ms)

    def handle_read_failure(self, event: PlatformReadFailed) -> None:
        """Log that a read of the platform failed; the documents in force do not change."""
        fields = {"detail": event.detail}
        self._parts.actions.append(Report("platform_silent", fields, "warning"))

    def handle_update(self, sender_id: str, message: DocumentsUpdate, now_ms: float) -> None:
        """Apply documents from a peer."""
        parts = self._parts
        held_revision = parts.store.revision
        change = parts.store.apply(
            message.documents, message.revision, above_revision=message.above_revision
        )
        self._apply_change(change, now_ms)
        if message.revision > parts.store.revision:
            self.request_documents(sender_id, message.revision, now_ms)
        if not change.stored:
            return
        update = DocumentsUpdate(parts.store.revision, change.stored, held_revision)
        sender = parts.membership.peers.get(sender_id)
        is_remote = sender is not None and sender.data_centre != parts.settings.data_centre
        # An update from another data centre reaches this one only through this instance, and a
        # large update is relayed from peer to peer. Any other update was already sent to all
        # local peers by the instance that had it first.
        if is_remote or _size_of(update) > MAX_PUSHED_BYTES:
            self._send_to_local_peers(update)

    def request_documents(self, peer_id: str, revision: int, now_ms: float) -> None:
        """Request the documents up to a peer's revision, unless they were requested just now."""
        if self._request_limiter.may_request(self._parts.store.revision, revision, now_ms):
            self._parts.send(peer_id, DocumentsRequest(self._parts.store.revision))

    def send_documents(self, sender_id: str, message: DocumentsRequest) -> None:
        """Send a peer the documents above its revision."""
        store = self._parts.store
        documents = store.documents_above(message.above_revision)
        update = DocumentsUpdate(store.revision, documents, message.above_revision)
        self._parts.send(sender_id, update)

    def handle_liveness(self, sender_id: str, message: Heartbeat | Goodbye, now_ms: float) -> None:
        """Record that a peer is alive or leaving, and request its documents if they are newer."""
        membership = self._parts.membership
        known = membership.peers.get(sender_id)
        known_incarnation = None if known is None else known.incarnation
        peer = membership.handle_message(sender_id, message, now_ms)
        if peer is None:
            return
        if peer.incarnation != known_incarnation:
            self._calls.send_warm_upstreams(sender_id, now_ms)
        if isinstance(message, Heartbeat):
            self._compare_revisions(sender_id, message, now_ms)

    def _compare_revisions(self, sender_id: str, heartbeat: Heartbeat, now_ms: float) -> None:
        parts, store = self._parts, self._parts.store
        if heartbeat.revision > store.revision:
            self.request_documents(sender_id, heartbeat.revision, now_ms)
            return
        # The platform age is valid only together with the revision that was read at that time.
        if heartbeat.platform_age_ms is not None:
            self.platform_freshness.record_relayed_age(heartbeat.platform_age_ms, now_ms)
        if heartbeat.revision != store.revision:
            return
        if self._divergence_detector.should_request_all(store.digest, heartbeat.digest, now_ms):
            fields = {"peer": sender_id, "revision": store.revision}
            parts.actions.append(Report("configuration_diverged", fields, "error"))
            parts.send(sender_id, DocumentsRequest(ALL_REVISIONS))

    def _send_to_local_peers(self, update: DocumentsUpdate) -> None:
        parts = self._parts
        local = [peer.entry.instance_id for peer in parts.membership.local_peers()]
        message: DocumentsUpdate | Probe = update
        if _size_of(update) > MAX_PUSHED_BYTES:
            local = parts.random.sample(local, min(ANNOUNCED_PEERS, len(local)))
            message = Probe(ANY_NONCE, update.revision)
        for instance_id in local:
            parts.send(instance_id, message)

    def _handle_stale_read(self, revision: int, now_ms: float) -> None:
        if now_ms - self._reread_ms < REREAD_INTERVAL_MS:
            return
        fields = {"platform_revision": revision, "revision": self._parts.store.revision}
        self._parts.actions.append(Report("platform_behind", fields, "warning"))
        self._reread(now_ms)

    def _reread(self, now_ms: float) -> None:
        if self.is_watching and now_ms - self._reread_ms >= REREAD_INTERVAL_MS:
            self._reread_ms = now_ms
            self.read_platform()

    def _apply_change(self, change: StoreChange, now_ms: float) -> None:
        parts = self._parts
        for refused in change.refused:
            fields = {"key": refused.key, "revision": refused.revision, "reason": refused.reason}
            parts.actions.append(Report("document_refused", fields, "error"))
        for key in change.conflicts:
            parts.actions.append(Report("document_conflict", {"key": key}, "error"))
        if change.is_forked:
            parts.actions.append(Report("platform_history_forked", {}, "error"))
        if change.stored:
            self._apply_view(now_ms)
            fields = {"revision": parts.store.revision, "documents": len(change.stored)}
            parts.actions.append(Report("configuration_in_force", fields))

    def _apply_view(self, now_ms: float) -> None:
        parts = self._parts
        view = parts.store.view
        owners = self._owners = OwnerTable.from_previous(view, self._owners)
        parts.membership.update(view)
        parts.admission.update(view)
        parts.router.update(view, owners)
        parts.coordinator.update(view)
        list_key = document_key(DocumentKind.INSTANCE_LIST, parts.settings.data_centre)
        steps = parts.dispatcher.update(view, owners, parts.store.revision_of(list_key), now_ms)
        self._calls.run_dispatch(steps, now_ms)
        should_watch = parts.membership.is_watcher()
        if should_watch != self.is_watching:
            self.is_watching = should_watch
            number = parts.freshness.read_number
            parts.actions.append(
                ReadPlatform(should_watch, stop=not should_watch, read_number=number)
            )


def _size_of(update: DocumentsUpdate) -> int:
    return sum(len(item.value or b"") for item in update.documents)
