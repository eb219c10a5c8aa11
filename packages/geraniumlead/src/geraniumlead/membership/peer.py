"""Define what is known of a peer."""

from dataclasses import dataclass

from geraniumlead.documents.instance_entry import InstanceEntry


@dataclass(slots=True)
class Peer:
    """Remember a listed instance of any data centre and what it last said.

    ``unanswered_since_ms`` is when work or a probe was sent to it that nothing was heard
    after. ``left_incarnation`` is the one that said goodbye.
    """

    entry: InstanceEntry
    data_centre: str
    heard_ms: float = float("-inf")
    unanswered_since_ms: float | None = None
    incarnation: str = ""
    left_incarnation: str | None = None
    revision: int = 0
    ready: bool = True

    @property
    def leaving(self) -> bool:
        """Return whether the peer said goodbye, or is listed as leaving."""
        said = self.left_incarnation is not None
        return self.entry.state == "leaving" or said
