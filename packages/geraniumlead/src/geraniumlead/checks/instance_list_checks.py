"""Check a single data centre's list of instances."""

from collections.abc import Iterator

from geraniumlead.checks.duplicates import find_duplicates
from geraniumlead.checks.message import CheckMessage, Level
from geraniumlead.checks.registry import document_checks
from geraniumlead.documents.instance_list import InstanceListDocument


@document_checks.register(InstanceListDocument)
def check_instance_ids(document: InstanceListDocument) -> Iterator[CheckMessage]:
    """Find instances with the same id, which would own the same upstreams."""
    for position, name in find_duplicates(entry.instance_id for entry in document.instances):
        yield CheckMessage(
            id="GL-N001",
            path=f"$.instances[{position}].instance_id",
            text=f"the instance {name!r} stands twice",
            hint="give each instance an id of its own, also across data centres",
        )


@document_checks.register(InstanceListDocument)
def check_peer_addresses(document: InstanceListDocument) -> Iterator[CheckMessage]:
    """Find two instances with the same peer address."""
    for position, address in find_duplicates(entry.peer_address for entry in document.instances):
        yield CheckMessage(
            id="GL-N002",
            path=f"$.instances[{position}].peer_address",
            text=f"the peer address {address} stands twice",
            level=Level.WARNING,
        )
