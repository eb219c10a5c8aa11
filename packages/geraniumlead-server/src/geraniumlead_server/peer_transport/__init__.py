"""Carry messages between instances."""

from geraniumlead_server.peer_transport.letter import Letter, PeerCodec
from geraniumlead_server.peer_transport.published_keys import PublishedKeys
from geraniumlead_server.peer_transport.transport import PeerTransport

__all__ = ["Letter", "PeerCodec", "PeerTransport", "PublishedKeys"]
