from dataclasses import dataclass

from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.merge import merge_greatest
from geraniumlead.forwarding.open_request import OpenRequest
from geraniumlead.peering import DelegatedReply, DelegatedRequest, ProcessId
from geraniumlead.routes import FanOut


@dataclass(frozen=True, slots=True)
class DelegationId:
    """The process that delegated a request, and the number that it gave to the request."""

    sender: ProcessId
    number: int


class DelegatedRequestRegistry:
    """Maps the requests that peers delegate to local keys, and builds the replies to them.

    The keys of delegated requests are negative, so they never collide with those of callers.
    """

    __slots__ = ("_ids", "_keys", "_last_key")

    def __init__(self) -> None:
        self._last_key = 0
        self._ids: dict[int, DelegationId] = {}
        self._keys: dict[DelegationId, int] = {}

    def register(
        self, sender: ProcessId, message: DelegatedRequest, waited_ms: float, now_ms: float
    ) -> ForwardedRequest:
        """Register a delegated request; return the request to run for it.

        ``waited_ms`` is how much later than expected the message came.
        """
        self._last_key -= 1
        delegation_id = DelegationId(sender, message.number)
        self._ids[self._last_key] = delegation_id
        self._keys[delegation_id] = self._last_key
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
            shared_upstreams=dict(zip(message.shards, message.shared_upstreams, strict=False)),
        )

    def find_key(self, sender: ProcessId, number: int) -> int | None:
        """Return the key of a delegated request; None if it has ended."""
        return self._keys.get(DelegationId(sender, number))

    def find_sender(self, open_request: OpenRequest) -> ProcessId | None:
        """Return the process that delegated a request; None if it has cancelled it."""
        delegation_id = self._ids.get(open_request.request.key)
        return None if delegation_id is None else delegation_id.sender

    def pop_key(self, sender: ProcessId, number: int) -> int | None:
        """Remove a request cancelled by its sender; return its key, or None if it has ended."""
        key = self._keys.pop(DelegationId(sender, number), None)
        if key is not None:
            del self._ids[key]
        return key

    def pop_keys_of(self, sender: ProcessId) -> list[int]:
        """Remove the requests of a process that is gone; return their keys."""
        numbers = [found.number for found in self._keys if found.sender == sender]
        keys = [self.pop_key(sender, number) for number in numbers]
        return [key for key in keys if key is not None]

    def pop_final_reply(self, open_request: OpenRequest) -> tuple[ProcessId, DelegatedReply]:
        """Remove a request that ends; return the process that sent it, and the final reply."""
        delegation_id = self._ids.pop(open_request.request.key)
        del self._keys[delegation_id]
        positions = _positions_of(open_request)
        tried = tuple(
            (positions[subrequest.service], tuple(subrequest.sent_to))
            for subrequest in open_request.subrequests
            if subrequest.answer is None
        )
        reply = self._build_reply(delegation_id.number, open_request, is_final=True, tried=tried)
        return delegation_id.sender, reply

    def build_partial_reply(self, open_request: OpenRequest) -> tuple[ProcessId, DelegatedReply]:
        """Return the sending process and a partial reply, while the other shards are awaited."""
        delegation_id = self._ids[open_request.request.key]
        reply = self._build_reply(delegation_id.number, open_request, is_final=False)
        return delegation_id.sender, reply

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
