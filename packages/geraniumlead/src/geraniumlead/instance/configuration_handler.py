"""Take documents from the platform and from peers."""

from geraniumlead.actions import ReadPlatform, Report
from geraniumlead.documents import DocumentKind, VersionedValue, document_key
from geraniumlead.events import DocumentsReceived, PlatformSilent
from geraniumlead.instance.call_handler import CallHandler
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.ownership import OwnerTable
from geraniumlead.peers import DocumentsUpdate, DocumentsWanted, Goodbye, Heartbeat


class ConfigurationHandler:
    """Bring accepted documents into force and spread them in the data centre."""

    __slots__ = ("_calls", "_parts", "platform_heard_ms", "watching")

    def __init__(self, parts: InstanceParts, calls: CallHandler) -> None:
        self._parts = parts
        self._calls = calls
        self.watching = False
        self.platform_heard_ms: float | None = None

    def start(self) -> None:
        """Read the platform until the list of instances says who watches it."""
        self.watching = True
        self._parts.actions.append(ReadPlatform(watch=True))

    def take_documents(self, event: DocumentsReceived, now_ms: float) -> None:
        """Take in news from the platform and pass them on to local peers."""
        self.platform_heard_ms = now_ms
        taken = self._apply(event.documents, event.revision, event.is_snapshot, now_ms)
        if taken:
            update = DocumentsUpdate(self._parts.store.revision, taken)
            for peer in self._parts.membership.local_peers():
                self._parts.send(peer.entry.instance_id, update)

    def take_silence(self, event: PlatformSilent) -> None:
        """Note that the platform did not answer; what is in force stays in force."""
        fields = {"detail": event.detail}
        self._parts.actions.append(Report("platform_silent", fields, "warning"))

    def take_update(self, message: DocumentsUpdate, now_ms: float) -> None:
        """Take in documents from a peer."""
        self._apply(message.documents, message.revision, False, now_ms)

    def give_documents(self, sender_id: str, message: DocumentsWanted) -> None:
        """Send a peer the documents that it lacks."""
        store = self._parts.store
        documents = store.documents_above(message.above_revision)
        self._parts.send(sender_id, DocumentsUpdate(store.revision, documents))

    def take_sign_of_life(
        self, sender_id: str, message: Heartbeat | Goodbye, now_ms: float
    ) -> None:
        """Note that a peer lives or leaves; ask it for documents that are news here."""
        parts = self._parts
        peer = parts.membership.hear(sender_id, message, now_ms)
        if peer is not None and peer.revision > parts.store.revision:
            parts.send(sender_id, DocumentsWanted(parts.store.revision))

    def _apply(
        self,
        documents: tuple[VersionedValue, ...],
        revision: int,
        is_snapshot: bool,
        now_ms: float,
    ) -> tuple[VersionedValue, ...]:
        parts = self._parts
        change = parts.store.apply(documents, revision, is_snapshot)
        for refused in change.refused:
            fields = {"key": refused.key, "revision": refused.revision, "reason": refused.reason}
            parts.actions.append(Report("document_refused", fields, "error"))
        if change.taken:
            self._adopt_view(now_ms)
            fields = {"revision": parts.store.revision, "documents": len(change.taken)}
            parts.actions.append(Report("configuration_in_force", fields))
        return change.taken

    def _adopt_view(self, now_ms: float) -> None:
        parts = self._parts
        view = parts.store.view
        owners = OwnerTable(view)
        parts.membership.update(view)
        parts.admission.update(view)
        parts.router.update(view, owners)
        parts.coordinator.update(view)
        list_key = document_key(DocumentKind.INSTANCE_LIST, parts.settings.data_centre)
        steps = parts.dispatcher.update(view, owners, parts.store.revision_of(list_key), now_ms)
        self._calls.run_dispatch(steps, now_ms)
        parts.lifecycle.note_configured()
        wanted = parts.membership.is_watcher()
        if wanted != self.watching:
            self.watching = wanted
            parts.actions.append(ReadPlatform(watch=wanted, stop=not wanted))
