"""Stand-ins for the users' platform: its store and its upstreams."""

from geraniumlead_standins.forwarding.store_contents import StoreContents
from geraniumlead_standins.forwarding.stub_store import StubStore
from geraniumlead_standins.forwarding.stub_upstream import StubUpstream, UpstreamFault
from geraniumlead_standins.forwarding.virtual_store_client import StoreAccess, VirtualStoreClient

__all__ = [
    "StoreAccess",
    "StoreContents",
    "StubStore",
    "StubUpstream",
    "UpstreamFault",
    "VirtualStoreClient",
]
