from collections.abc import Callable

from geraniumlead.configuration import ClusterView


class PublishedKeys:
    """Maps published CURVE public keys to the listed instances that own them.

    ``get_view`` returns the current view. The authenticator looks up the key of each new
    connection and the transport that of each message, so messages of a peer that left the
    list are discarded, although its connection may still be open.
    """

    __slots__ = ("_get_view", "_owner_of_key", "_view")

    def __init__(self, get_view: Callable[[], ClusterView]) -> None:
        self._get_view = get_view
        self._view: ClusterView | None = None
        self._owner_of_key: dict[str, str] = {}

    def owner_of(self, key: str) -> str | None:
        """Return the instance that published the Z85-encoded key, or None."""
        view = self._get_view()
        if view is not self._view:
            self._view = view
            self._owner_of_key = {
                entry.peer_public_key: entry.instance_id
                for entries in view.instances.values()
                for entry in entries
                if entry.peer_public_key
            }
        return self._owner_of_key.get(key)

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a key is accepted; the ZAP authenticator calls this name."""
        return self.owner_of(key.decode()) is not None
