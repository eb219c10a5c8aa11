"""Follow which peers live and whether this instance's own view can be trusted."""

from geraniumlead.membership.membership import Membership
from geraniumlead.membership.peer import Peer

__all__ = ["Membership", "Peer"]
