"""Estimate the memory that a caller's request takes."""

from dataclasses import dataclass

FIELD_BYTES = 320
"""One header field as it is parsed and as it is decoded: two tuples and four short strings."""

COPIED_FIELD_BYTES = 64
"""One field in the headers of an attempt; its strings are shared."""


@dataclass(frozen=True, slots=True)
class RequestSize:
    """The bytes and fields of a request that were received."""

    head_bytes: int
    fields: int
    body_bytes: int

    def received_bytes(self) -> int:
        """Return the memory that the request takes until it is forwarded."""
        return self.head_bytes + FIELD_BYTES * self.fields + self.body_bytes

    def forwarded_bytes(self, copies: int) -> int:
        """Return the memory while the request is sent to ``copies`` upstreams.

        Each has its own headers, and a copy of the body until it has read it.
        """
        copy_bytes = self.head_bytes + COPIED_FIELD_BYTES * self.fields + self.body_bytes
        return self.received_bytes() + copies * copy_bytes
