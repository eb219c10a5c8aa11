"""Follow which peers live and whether this instance's own view can be trusted."""

from geraniumlead.membership.membership import Membership
from geraniumlead.membership.peer import Peer
from geraniumlead.membership.platform_contact import PlatformContact

__all__ = ["Membership", "Peer", "PlatformContact"]
