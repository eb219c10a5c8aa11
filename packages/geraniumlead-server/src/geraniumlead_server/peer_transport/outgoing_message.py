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


@dataclass(frozen=True, slots=True)
class PeerCodec:
    """Encodes and decodes messages; ``decode`` returns None for malformed data."""

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes | memoryview], Any]
