"""Tell which listed instance a CURVE key belongs to."""

from collections.abc import Callable

from geraniumlead.configuration import ClusterView


class PublishedKeys:
    """Map the published public keys to their owners.

    ``get_view`` returns the view in force. An authenticator's callback asks for each new
    connection, and the transport for each message, so a peer that leaves the list is not
    heard any more, although its connection may still be open.
    """

    __slots__ = ("_get_view", "_owner_of_key", "_view")

    def __init__(self, get_view: Callable[[], ClusterView]) -> None:
        self._get_view = get_view
        self._view: ClusterView | None = None
        self._owner_of_key: dict[str, str] = {}

    def owner_of(self, key: str) -> str | None:
        """Return the instance that publishes the Z85 key, or None."""
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
        """Let a key in or not; called by the ZAP authenticator under this name."""
        return self.owner_of(key.decode()) is not None
