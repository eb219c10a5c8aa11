"""Define what is known of a peer."""

from dataclasses import dataclass

from geraniumlead.documents.instance_entry import InstanceEntry


@dataclass(slots=True)
class Peer:
    """Remember a listed instance of any data centre and what it last said."""

    entry: InstanceEntry
    data_centre: str
    heard_ms: float = float("-inf")
    incarnation: str = ""
    revision: int = 0
    ready: bool = True
    leaving: bool = False
