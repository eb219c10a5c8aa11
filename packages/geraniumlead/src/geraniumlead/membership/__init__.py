"""Liveness of the listed peers, and the age of this instance's own view of the platform."""

from geraniumlead.membership.membership import Membership
from geraniumlead.membership.peer import Peer
from geraniumlead.membership.platform_freshness import PlatformFreshness

__all__ = ["Membership", "Peer", "PlatformFreshness"]
