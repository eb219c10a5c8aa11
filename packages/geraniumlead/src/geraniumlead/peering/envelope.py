"""The envelope of a message between instances, and its codec."""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from geraniumlead.peering.process_id import UNKNOWN_INCARNATION


class Envelope(Struct, frozen=True, array_like=True):
    """The incarnations of the process that sent a message and of the one that it is for.

    The receiver's is unknown until the sender has heard of it. An instance of an older version
    sends no envelope, so both are unknown.

    Failure: a process is killed and started again. Messages that its peers had sent to it, or that
    it had sent to them, arrive after the new process has begun, and were taken for messages to or
    of the new one, whose numbers start anew: callers got the data of another request.
    """

    sender: int = UNKNOWN_INCARNATION
    receiver: int = UNKNOWN_INCARNATION


NO_ENVELOPE = Envelope()

_ENCODER = Encoder()
_DECODER = Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the msgpack bytes of an envelope."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Envelope | None:
    """Return the envelope in ``data``, an empty one for no data, or None when it is malformed."""
    if not data:
        return NO_ENVELOPE
    try:
        return _DECODER.decode(data)
    except (DecodeError, ValidationError):
        return None
