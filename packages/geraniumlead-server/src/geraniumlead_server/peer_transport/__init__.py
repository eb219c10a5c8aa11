"""Carry messages between instances."""

from geraniumlead_server.peer_transport.letter import Letter, PeerCodec
from geraniumlead_server.peer_transport.transport import PeerTransport

__all__ = ["Letter", "PeerCodec", "PeerTransport"]
