"""Check a single data centre's list of upstreams."""

from collections.abc import Iterator

from geraniumlead.checks.addresses import has_valid_ip, has_valid_port
from geraniumlead.checks.duplicates import find_duplicates
from geraniumlead.checks.message import CheckMessage, Level
from geraniumlead.checks.registry import document_checks
from geraniumlead.documents.upstream_list import UpstreamListDocument


@document_checks.register(UpstreamListDocument)
def check_upstream_ids(document: UpstreamListDocument) -> Iterator[CheckMessage]:
    """Find upstreams with the same id, whose limits would be mixed up."""
    for position, name in find_duplicates(entry.upstream_id for entry in document.upstreams):
        yield CheckMessage(
            id="GL-U001",
            path=f"$.upstreams[{position}].upstream_id",
            text=f"the upstream {name!r} stands twice",
            hint="give each upstream an id of its own, also across data centres",
        )


@document_checks.register(UpstreamListDocument)
def check_upstream_addresses(document: UpstreamListDocument) -> Iterator[CheckMessage]:
    """Find two upstreams with the same address, and addresses that cannot be reached."""
    for position, address in find_duplicates(entry.address for entry in document.upstreams):
        yield CheckMessage(
            id="GL-U002",
            path=f"$.upstreams[{position}].address",
            text=f"the address {address} stands twice",
            hint="one address is one server: its slots would be counted twice",
        )
    for position, entry in enumerate(document.upstreams):
        if not has_valid_port(entry.address):
            yield CheckMessage(
                id="GL-U003",
                path=f"$.upstreams[{position}].address",
                text=f"{entry.address} has no port from 1 to 65535",
            )
        if not has_valid_ip(entry.address):
            yield CheckMessage(
                id="GL-U006",
                path=f"$.upstreams[{position}].address",
                text=f"{entry.address} has no IP number",
            )


@document_checks.register(UpstreamListDocument)
def check_upstream_limits(document: UpstreamListDocument) -> Iterator[CheckMessage]:
    """Find limits of an upstream that contradict each other."""
    for position, entry in enumerate(document.upstreams):
        if entry.connections < entry.slots:
            yield CheckMessage(
                id="GL-U004",
                path=f"$.upstreams[{position}].connections",
                text="fewer connections than slots leave slots idle",
                level=Level.WARNING,
            )
        if entry.cold_allowance > entry.slots:
            yield CheckMessage(
                id="GL-U005",
                path=f"$.upstreams[{position}].cold_allowance",
                text="a cold upstream is allowed more than its slots",
                hint="lower cold_allowance to what the upstream can serve while cold",
                level=Level.WARNING,
            )
