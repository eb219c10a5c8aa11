"""Serve the shards that peers ask for."""

from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.merge import merge_greatest
from geraniumlead.forwarding.open_request import OpenRequest
from geraniumlead.peering import DelegatedReply, DelegatedRequest
from geraniumlead.routes import FanOut


class DelegatedRequestRegistry:
    """Tie each request of a peer to a key of its own, and turn its end into a message.

    Keys of peers' requests are negative, so they never meet those of callers.
    """

    __slots__ = ("_keys", "_next", "_owners")

    def __init__(self) -> None:
        self._next = 0
        self._owners: dict[int, tuple[str, int]] = {}
        self._keys: dict[tuple[str, int], int] = {}

    def accept(self, sender_id: str, message: DelegatedRequest, now_ms: float) -> ForwardedRequest:
        """Return the request of a message."""
        self._next -= 1
        owner = (sender_id, message.number)
        self._owners[self._next] = owner
        self._keys[owner] = self._next
        return ForwardedRequest(
            key=self._next,
            request_id=message.request_id,
            method=message.method,
            host=message.host,
            path=message.path,
            target=message.target,
            headers=message.headers,
            body=message.body,
            arrived_ms=now_ms,
            wait_ms=message.time_left_ms,
            goal_left_ms=message.goal_left_ms,
            shards=message.shards,
        )

    def find_key(self, sender_id: str, number: int) -> int | None:
        """Return the key of a peer's request; None when it has ended."""
        return self._keys.get((sender_id, number))

    def take_key(self, sender_id: str, number: int) -> int | None:
        """Take out a peer's request that nobody waits for; return its key."""
        key = self._keys.pop((sender_id, number), None)
        if key is not None:
            del self._owners[key]
        return key

    def take_reply(self, opened: OpenRequest) -> tuple[str, DelegatedReply]:
        """Take out a request that ends with what is in; return whom to tell what."""
        sender_id, number = self._owners.pop(opened.request.key)
        del self._keys[(sender_id, number)]
        places = _places(opened)
        tried = tuple(
            (places[leg.service], tuple(leg.sent_to))
            for leg in opened.subrequests
            if leg.answer is None
        )
        return sender_id, self._reply(number, opened, is_final=True, tried=tried)

    def report(self, opened: OpenRequest) -> tuple[str, DelegatedReply]:
        """Return whom to tell what is in, while the rest is still waited for."""
        sender_id, number = self._owners[opened.request.key]
        return sender_id, self._reply(number, opened, is_final=False)

    def _reply(self, number: int, opened: OpenRequest, **fields) -> DelegatedReply:
        """Return a message with the answers that no earlier one had."""
        answered = [
            leg for leg in opened.subrequests if leg.answer is not None and not leg.is_reported
        ]
        for leg in answered:
            leg.is_reported = True
        target = opened.route.target
        count = target.record_count if isinstance(target, FanOut) else 0
        records = merge_greatest((leg.answer.body for leg in answered), count)
        places = _places(opened)
        signatures = tuple((places[leg.service], leg.answer.signature) for leg in answered)
        return DelegatedReply(number=number, signatures=signatures, records=records, **fields)


def _places(opened: OpenRequest) -> dict[str, int]:
    """Return the place of each shard in the peer's request."""
    return {service: place for place, service in enumerate(opened.request.shards or ())}
