"""Define what the transport needs to know of a message and its encoding."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol


class Letter(Protocol):
    """Name a message, its receiver, and the receiver's key (empty without keys)."""

    instance_id: str
    address: str
    message: Any
    public_key: str


@dataclass(frozen=True, slots=True)
class PeerCodec:
    """Hold the two directions of an encoding; ``decode`` returns None for what is malformed."""

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes | memoryview], Any]
