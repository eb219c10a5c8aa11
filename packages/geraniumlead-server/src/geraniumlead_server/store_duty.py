"""Define what an instance has to do with the platform's store."""

from collections.abc import Callable
from dataclasses import dataclass

from geraniumlead.peering import StoreUpdates


def _always() -> bool:
    return True


def _never() -> bool:
    return False


def _keep(news: StoreUpdates) -> None:
    """Pass on nothing."""


def _ask_nobody(beyond_revision: int | None) -> None:
    """Ask no peer."""


@dataclass(frozen=True, slots=True)
class StoreDuty:
    """Connect the follower of the store to the decisions.

    ``is_watcher`` says whether this instance reads the store for others, ``has_readers`` whether
    there are any, ``relay`` passes on to them what changed, ``ask_state`` asks a peer for all
    that stands in the store, if that is beyond a revision, and ``lacks_upstreams`` says whether a
    service has no upstream.
    """

    is_watcher: Callable[[], bool] = _always
    has_readers: Callable[[], bool] = _never
    relay: Callable[[StoreUpdates], None] = _keep
    ask_state: Callable[[int | None], None] = _ask_nobody
    lacks_upstreams: Callable[[], bool] = _never
