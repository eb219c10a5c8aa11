"""Callbacks between the store follower and the rest of an instance."""

from collections.abc import Callable
from dataclasses import dataclass

from geraniumlead.peering import StoreUpdates


def _always() -> bool:
    return True


def _never() -> bool:
    return False


def _relay_to_nobody(updates: StoreUpdates) -> None:
    """Drop the updates."""


def _request_from_nobody(beyond_revision: int | None) -> None:
    """Send no request."""


@dataclass(frozen=True, slots=True)
class StoreCallbacks:
    """Callbacks that connect the store follower to the forwarder and the peers.

    ``is_watcher`` returns whether this instance reads the store for others, and ``has_readers``
    whether there are any. ``relay`` sends changes to them. ``request_state`` requests the whole
    state of the store from a peer that knows more than a given revision. ``lacks_upstreams``
    returns whether a service has no upstream.
    """

    is_watcher: Callable[[], bool] = _always
    has_readers: Callable[[], bool] = _never
    relay: Callable[[StoreUpdates], None] = _relay_to_nobody
    request_state: Callable[[int | None], None] = _request_from_nobody
    lacks_upstreams: Callable[[], bool] = _never
