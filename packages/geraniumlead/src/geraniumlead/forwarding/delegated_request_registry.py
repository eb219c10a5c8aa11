from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.merge import merge_greatest
from geraniumlead.forwarding.open_request import OpenRequest
from geraniumlead.peering import DelegatedReply, DelegatedRequest
from geraniumlead.routes import FanOut


class DelegatedRequestRegistry:
    """Maps the requests that peers delegate to local keys, and builds the replies to them.

    The keys of delegated requests are negative, so they never collide with those of callers.
    """

    __slots__ = ("_keys", "_last_key", "_senders")

    def __init__(self) -> None:
        self._last_key = 0
        self._senders: dict[int, tuple[str, int]] = {}
        self._keys: dict[tuple[str, int], int] = {}

    def register(
        self, sender_id: str, message: DelegatedRequest, waited_ms: float, now_ms: float
    ) -> ForwardedRequest:
        """Register a delegated request; return the request to run for it.

        ``waited_ms`` is how much later than expected the message came.
        """
        self._last_key -= 1
        sender = (sender_id, message.number)
        self._senders[self._last_key] = sender
        self._keys[sender] = self._last_key
        return ForwardedRequest(
            key=self._last_key,
            request_id=message.request_id,
            method=message.method,
            host=message.host,
            path=message.path,
            target=message.target,
            headers=message.headers,
            body=message.body,
            arrived_ms=now_ms,
            wait_ms=message.time_left_ms,
            waited_ms=waited_ms,
            goal_left_ms=message.goal_left_ms,
            shards=message.shards,
        )

    def find_key(self, sender_id: str, number: int) -> int | None:
        """Return the key of a delegated request; None if it has ended."""
        return self._keys.get((sender_id, number))

    def find_sender(self, open_request: OpenRequest) -> str | None:
        """Return the id of the peer that delegated a request; None if it has cancelled it."""
        sender = self._senders.get(open_request.request.key)
        return None if sender is None else sender[0]

    def pop_key(self, sender_id: str, number: int) -> int | None:
        """Remove a request cancelled by its sender; return its key, or None if it has ended."""
        key = self._keys.pop((sender_id, number), None)
        if key is not None:
            del self._senders[key]
        return key

    def pop_final_reply(self, open_request: OpenRequest) -> tuple[str, DelegatedReply]:
        """Remove a request that ends; return the sender's id and the final reply."""
        sender_id, number = self._senders.pop(open_request.request.key)
        del self._keys[(sender_id, number)]
        positions = _positions_of(open_request)
        tried = tuple(
            (positions[subrequest.service], tuple(subrequest.sent_to))
            for subrequest in open_request.subrequests
            if subrequest.answer is None
        )
        return sender_id, self._build_reply(number, open_request, is_final=True, tried=tried)

    def build_partial_reply(self, open_request: OpenRequest) -> tuple[str, DelegatedReply]:
        """Return the sender's id and a partial reply, while the other shards are awaited."""
        sender_id, number = self._senders[open_request.request.key]
        return sender_id, self._build_reply(number, open_request, is_final=False)

    def _build_reply(self, number: int, open_request: OpenRequest, **fields) -> DelegatedReply:
        """Return a reply with the answers that no earlier reply contained."""
        answered = [
            subrequest
            for subrequest in open_request.subrequests
            if subrequest.answer is not None and not subrequest.is_reported
        ]
        for subrequest in answered:
            subrequest.is_reported = True
        target = open_request.route.target
        count = target.record_count if isinstance(target, FanOut) else 0
        records = merge_greatest((subrequest.answer.body for subrequest in answered), count)
        positions = _positions_of(open_request)
        signatures = tuple(
            (positions[subrequest.service], subrequest.answer.signature) for subrequest in answered
        )
        return DelegatedReply(number=number, signatures=signatures, records=records, **fields)


def _positions_of(open_request: OpenRequest) -> dict[str, int]:
    """Return the position of each shard in the peer's request."""
    return {service: position for position, service in enumerate(open_request.request.shards or ())}
