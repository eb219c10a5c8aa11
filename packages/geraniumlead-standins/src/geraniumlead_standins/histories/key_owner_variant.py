"""A second design of bookings that was considered: rendezvous hashing selects a key's owner."""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.instance.request_handler import RequestHandler
from geraniumlead.requests import CallerRequest
from geraniumlead.tickets import TicketRecord

FOREVER_MS = float("inf")


@contextmanager
def own_keys_by_rendezvous() -> Iterator[None]:
    """Let the listed instance that ranks first for a key record the key and run its booking.

    The owner does not know which keys it had before it started, or which ones another owner
    had under an older list; it takes an unknown key for a new one.
    """
    with patch.object(RequestHandler, "_is_settled_by_ticket", _is_settled_by_owner):
        yield


def _is_settled_by_owner(self: RequestHandler, request: CallerRequest, now_ms: float) -> bool:
    parts, key = self._parts, request.ticket or ""
    handler, registry = parts.tickets, parts.tickets._registry
    lists = parts.store.view.instances.values()
    names = [entry.instance_id for entries in lists for entry in entries]
    owner_id = rank_by_rendezvous(key, names)[0] if names else parts.settings.instance_id
    if owner_id != parts.settings.instance_id:
        message, outcome = handler.forward(request, now_ms)
        if not parts.send(owner_id, message):
            handler.drop_forwarded(message.call_id)
            self._calls.answer(request, outcome)
        return True
    if key not in registry._records:
        registry._records[key] = TicketRecord(
            request.customer, request.class_name, FOREVER_MS, FOREVER_MS
        )
    outcome = registry.claim(request, now_ms)
    if outcome is not None:
        self._calls.answer(request, outcome)
        return True
    return handler.join_running(request)
