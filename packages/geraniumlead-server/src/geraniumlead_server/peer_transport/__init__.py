"""Send and receive messages between instances."""

from geraniumlead_server.peer_transport.outgoing_message import OutgoingMessage, PeerCodec
from geraniumlead_server.peer_transport.transport import PeerTransport

__all__ = ["OutgoingMessage", "PeerCodec", "PeerTransport"]
