"""Ask whether this instance's list of instances can be acted on."""

from geraniumlead.configuration.document_store import DocumentStore
from geraniumlead.membership.membership import Membership


class ViewConfirmation:
    """Confirm the view by the peers of the own data centre.

    Failure: an instance that is cut off from platform and peers keeps its old list for as
    long as the cut lasts, longer than any lag, and would go on using a cold slot that
    another instance holds by now. So a slot is used only while more than half of the listed
    instances are heard, this one counted, and none of them has a newer configuration. That
    suffices while two lists differ by one instance; two halves of a data centre can't both
    hear more than half of it.
    """

    __slots__ = ("_membership", "_store")

    def __init__(self, membership: Membership, store: DocumentStore) -> None:
        self._membership = membership
        self._store = store

    def is_confirmed(self, now_ms: float) -> bool:
        """Return whether enough peers act on the same configuration."""
        heard = listed = 1
        for peer in self._membership.local_peers():
            if peer.entry.state != "live":
                continue
            listed += 1
            if self._membership.is_reachable(peer.entry.instance_id, now_ms):
                heard += 1
                if peer.revision > self._store.revision:
                    return False
        return 2 * heard > listed
