"""Check a data centre's list of instances on its own."""

from collections.abc import Iterator

from geraniumlead.checks.message import CheckMessage, Level
from geraniumlead.checks.registry import document_checks
from geraniumlead.checks.repeated import find_repeated
from geraniumlead.documents.instance_list import InstanceListDocument


@document_checks.register(InstanceListDocument)
def check_instance_ids(found: InstanceListDocument) -> Iterator[CheckMessage]:
    """Find instances of one name, which would own the same upstreams."""
    for position, name in find_repeated(entry.instance_id for entry in found.instances):
        yield CheckMessage(
            id="GL-N001",
            path=f"$.instances[{position}].instance_id",
            text=f"the instance {name!r} stands twice",
            hint="give each instance an id of its own, also across data centres",
        )


@document_checks.register(InstanceListDocument)
def check_peer_addresses(found: InstanceListDocument) -> Iterator[CheckMessage]:
    """Find two instances behind one address."""
    for position, address in find_repeated(entry.peer_address for entry in found.instances):
        yield CheckMessage(
            id="GL-N002",
            path=f"$.instances[{position}].peer_address",
            text=f"the peer address {address} stands twice",
            level=Level.WARNING,
        )
