from geraniumlead.configuration.document_store import DocumentStore
from geraniumlead.membership.membership import Membership


class ViewConfirmation:
    """Checks this instance's view against the peers of its own data centre.

    Failure: an instance that is isolated from the platform and its peers keeps its old list for
    longer than any lag, and would continue to use a cold slot that another instance holds by
    now. So a slot is used only while more than half of the listed instances, including this
    one, are reachable and none of them has a newer configuration. That is sufficient while two
    lists differ by one instance: two halves of a data centre can't both reach more than half of
    it.
    """

    __slots__ = ("_membership", "_store")

    def __init__(self, membership: Membership, store: DocumentStore) -> None:
        self._membership = membership
        self._store = store

    def is_confirmed(self, now_ms: float) -> bool:
        """Return whether enough peers are reachable and none has a newer configuration."""
        reachable = listed = 1
        for peer in self._membership.local_peers():
            if peer.entry.state != "live":
                continue
            listed += 1
            if self._membership.is_reachable(peer.entry.instance_id, now_ms):
                reachable += 1
                if peer.revision > self._store.revision:
                    return False
        return 2 * reachable > listed
