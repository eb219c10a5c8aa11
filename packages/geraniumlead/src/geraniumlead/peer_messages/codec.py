"""Encoding and decoding of peer messages with msgpack."""

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, Encoder

from geraniumlead.peer_messages.messages import PeerMessage

_ENCODER = Encoder()
_DECODER = Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return the msgpack bytes of a message."""
    return _ENCODER.encode(message)


def decode_message(data: bytes | memoryview) -> PeerMessage | None:
    """Return the message in ``data``, or None when it is malformed or of an unknown kind."""
    try:
        return _DECODER.decode(data)
    except (DecodeError, ValidationError):
        return None
