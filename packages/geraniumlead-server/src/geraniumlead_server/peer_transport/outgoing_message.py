"""Interfaces of the messages and the codec that the transport uses."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol


class OutgoingMessage(Protocol):
    """A message with its receiver's name, address and public key (empty without keys)."""

    instance_id: str
    address: str
    message: Any
    public_key: str


def _without_envelope(outgoing: OutgoingMessage) -> bytes:
    return b""


@dataclass(frozen=True, slots=True)
class PeerCodec:
    """Encodes and decodes messages; ``decode`` returns None for malformed data.

    ``encode_envelope`` returns the bytes that are sent in a frame before those of the message; none
    for no such frame.
    """

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes | memoryview], Any]
    encode_envelope: Callable[[OutgoingMessage], bytes] = _without_envelope
