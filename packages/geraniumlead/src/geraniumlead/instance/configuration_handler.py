"""Take documents from the platform and from peers."""

from geraniumlead.actions import ReadPlatform, Report
from geraniumlead.configuration import DivergenceDetector, DocumentRequestLimiter, StoreChange
from geraniumlead.documents import DocumentKind, document_key
from geraniumlead.events import DocumentsReceived, PlatformSilent
from geraniumlead.instance.call_handler import CallHandler
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.membership import PlatformContact
from geraniumlead.ownership import OwnerTable
from geraniumlead.peers import (
    ANY_NONCE,
    DocumentsUpdate,
    DocumentsWanted,
    Goodbye,
    Heartbeat,
    Probe,
)

EVERYTHING = -1
PUSHED_BYTES = 8_192
"""Size of an update that is sent to every local peer. A larger one would lie in the memory of
the sender once for each of them, and a newcomer's first read is the whole configuration."""

ANNOUNCED_PEERS = 8
"""Local peers that are told of a larger one; each fetches it once and tells as many others."""

REREAD_INTERVAL_MS = 2_000.0
"""Least time between two reads that a watcher begins because a watch left a gap."""


class ConfigurationHandler:
    """Bring accepted documents into force and spread them in the data centre."""

    __slots__ = (
        "_calls",
        "_divergence",
        "_owners",
        "_parts",
        "_questions",
        "_reread_ms",
        "contact",
        "watching",
    )

    def __init__(self, parts: InstanceParts, calls: CallHandler) -> None:
        self._parts = parts
        self._calls = calls
        self._divergence = DivergenceDetector()
        self._owners = OwnerTable(parts.store.view)
        self._questions = DocumentRequestLimiter()
        self._reread_ms = float("-inf")
        self.contact = PlatformContact(parts.random)
        self.watching = False

    def start(self) -> None:
        """Read the platform until the list of instances says who watches it."""
        self.watching = True
        self.read_anew()

    def read_anew(self) -> None:
        """Read the platform; the answer carries the number of the view's confirmation."""
        number = self._parts.freshness.read_number
        self._parts.actions.append(ReadPlatform(watch=self.watching, read_number=number))

    def read_if_nobody_does(self, now_ms: float) -> None:
        """Read the platform when neither a watcher nor a peer has news from it."""
        local = 1 + len(self._parts.membership.local_peers())
        if self.contact.takes_over(self.watching, local, now_ms):
            self.read_anew()

    def take_documents(self, event: DocumentsReceived, now_ms: float) -> None:
        """Take in news from the platform and pass them on to local peers."""
        store = self._parts.store
        held_revision = store.revision
        change = store.apply(
            event.documents, event.revision, event.is_snapshot, event.above_revision
        )
        self._bring_into_force(change, now_ms)
        if change.stored:
            self._spread(DocumentsUpdate(store.revision, change.stored, held_revision))
        if event.revision < store.revision:
            # An old copy of the platform: it is no sign that nothing newer was published.
            self._note_behind(event.revision, now_ms)
        elif event.revision > store.revision:
            self._reread(now_ms)
        else:
            self.contact.note_heard(now_ms)

    def take_silence(self, event: PlatformSilent) -> None:
        """Note that the platform did not answer; what is in force stays in force."""
        fields = {"detail": event.detail}
        self._parts.actions.append(Report("platform_silent", fields, "warning"))

    def take_update(self, sender_id: str, message: DocumentsUpdate, now_ms: float) -> None:
        """Take in documents from a peer."""
        parts = self._parts
        held_revision = parts.store.revision
        change = parts.store.apply(
            message.documents, message.revision, above_revision=message.above_revision
        )
        self._bring_into_force(change, now_ms)
        if message.revision > parts.store.revision:
            self.ask(sender_id, message.revision, now_ms)
        if not change.stored:
            return
        update = DocumentsUpdate(parts.store.revision, change.stored, held_revision)
        sender = parts.membership.peers.get(sender_id)
        is_remote = sender is not None and sender.data_centre != parts.settings.data_centre
        # What another data centre told reaches the own one by this instance alone, and what
        # is large goes from peer to peer; the rest was sent to all by whoever had it first.
        if is_remote or _size_of(update) > PUSHED_BYTES:
            self._spread(update)

    def ask(self, peer_id: str, revision: int, now_ms: float) -> None:
        """Ask a peer for the documents up to its revision, unless that was asked just now."""
        if self._questions.may_request(self._parts.store.revision, revision, now_ms):
            self._parts.send(peer_id, DocumentsWanted(self._parts.store.revision))

    def give_documents(self, sender_id: str, message: DocumentsWanted) -> None:
        """Send a peer the documents that it lacks."""
        store = self._parts.store
        documents = store.documents_above(message.above_revision)
        update = DocumentsUpdate(store.revision, documents, message.above_revision)
        self._parts.send(sender_id, update)

    def take_sign_of_life(
        self, sender_id: str, message: Heartbeat | Goodbye, now_ms: float
    ) -> None:
        """Note that a peer lives or leaves; ask it for documents that are news here."""
        membership = self._parts.membership
        known = membership.peers.get(sender_id)
        known_incarnation = None if known is None else known.incarnation
        peer = membership.hear(sender_id, message, now_ms)
        if peer is None:
            return
        if peer.incarnation != known_incarnation:
            self._calls.hand_over_warmth(sender_id, now_ms)
        if isinstance(message, Heartbeat):
            self._compare(sender_id, message, now_ms)

    def _compare(self, sender_id: str, heartbeat: Heartbeat, now_ms: float) -> None:
        parts, store = self._parts, self._parts.store
        if heartbeat.revision > store.revision:
            self.ask(sender_id, heartbeat.revision, now_ms)
            return
        # An age counts only together with the revision that was heard then.
        if heartbeat.platform_age_ms is not None:
            self.contact.note_relayed(heartbeat.platform_age_ms, now_ms)
        if heartbeat.revision != store.revision:
            return
        if self._divergence.should_request_all(store.digest, heartbeat.digest, now_ms):
            fields = {"peer": sender_id, "revision": store.revision}
            parts.actions.append(Report("configuration_diverged", fields, "error"))
            parts.send(sender_id, DocumentsWanted(EVERYTHING))

    def _spread(self, update: DocumentsUpdate) -> None:
        parts = self._parts
        local = [peer.entry.instance_id for peer in parts.membership.local_peers()]
        message: DocumentsUpdate | Probe = update
        if _size_of(update) > PUSHED_BYTES:
            local = parts.random.sample(local, min(ANNOUNCED_PEERS, len(local)))
            message = Probe(ANY_NONCE, update.revision)
        for instance_id in local:
            parts.send(instance_id, message)

    def _note_behind(self, revision: int, now_ms: float) -> None:
        if now_ms - self._reread_ms < REREAD_INTERVAL_MS:
            return
        fields = {"platform_revision": revision, "revision": self._parts.store.revision}
        self._parts.actions.append(Report("platform_behind", fields, "warning"))
        self._reread(now_ms)

    def _reread(self, now_ms: float) -> None:
        if self.watching and now_ms - self._reread_ms >= REREAD_INTERVAL_MS:
            self._reread_ms = now_ms
            self.read_anew()

    def _bring_into_force(self, change: StoreChange, now_ms: float) -> None:
        parts = self._parts
        for refused in change.refused:
            fields = {"key": refused.key, "revision": refused.revision, "reason": refused.reason}
            parts.actions.append(Report("document_refused", fields, "error"))
        for key in change.conflicts:
            parts.actions.append(Report("document_conflict", {"key": key}, "error"))
        if change.is_forked:
            parts.actions.append(Report("platform_history_forked", {}, "error"))
        if change.stored:
            self._adopt_view(now_ms)
            fields = {"revision": parts.store.revision, "documents": len(change.stored)}
            parts.actions.append(Report("configuration_in_force", fields))

    def _adopt_view(self, now_ms: float) -> None:
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
        wanted = parts.membership.is_watcher()
        if wanted != self.watching:
            self.watching = wanted
            number = parts.freshness.read_number
            parts.actions.append(ReadPlatform(wanted, stop=not wanted, read_number=number))


def _size_of(update: DocumentsUpdate) -> int:
    return sum(len(item.value or b"") for item in update.documents)
