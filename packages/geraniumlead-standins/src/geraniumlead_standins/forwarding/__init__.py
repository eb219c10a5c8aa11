"""Stand in for the users' platform: its store and its upstreams."""

from geraniumlead_standins.forwarding.stub_store import StubStore
from geraniumlead_standins.forwarding.stub_upstream import StubUpstream, UpstreamFault

__all__ = ["StubStore", "StubUpstream", "UpstreamFault"]
