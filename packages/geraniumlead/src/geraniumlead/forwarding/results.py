"""Results of an attempt at an upstream."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Completed:
    """The upstream returned a complete answer to the request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    signature: str | None

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx and the answer carries the upstream's signature."""
        return 200 <= self.status < 300 and self.signature is not None


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The upstream stated that it did not execute the request and never will."""

    status: int
    is_other_upstream: bool = False
    """Whether a different upstream answered at this address."""


@dataclass(frozen=True, slots=True)
class NotReached:
    """No connection was established, or nothing could be written on it: nothing was sent."""

    detail: str
    is_timeout: bool = False
    """Whether the connection attempt got no response; a running machine would refuse at once."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """The request's end came before it could be written, so nothing was sent."""


@dataclass(frozen=True, slots=True)
class PossiblyExecuted:
    """The request was sent, but no complete answer came back, so it may have been executed."""

    detail: str
    is_connection_lost: bool = False
    """Whether the connection was lost, so that the upstream may have crashed."""


AttemptResult = Completed | NotExecuted | NotReached | NotSent | PossiblyExecuted
