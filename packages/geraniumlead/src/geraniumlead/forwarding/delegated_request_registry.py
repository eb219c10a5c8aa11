from collections import OrderedDict
from dataclasses import dataclass

from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.merge import merge_greatest
from geraniumlead.forwarding.open_request import OpenRequest
from geraniumlead.peering import DelegatedReply, DelegatedRequest, ProcessId
from geraniumlead.routes import FanOut

MAX_ENDED = 4_096
"""Number of ended delegations that are remembered."""


@dataclass(frozen=True, slots=True)
class DelegationId:
    """The process that delegated a request, and the number that it gave to the request."""

    sender: ProcessId
    number: int


class DelegatedRequestRegistry:
    """Maps the requests that peers delegate to local keys, and builds the replies to them.

    The keys of delegated requests are negative, so they never collide with those of callers.

    Failure: a connection between two instances is replaced while the network holds up its bytes.
    The cancellation of a request arrives over the new one, then the request, and upstreams work
    for a caller who has left. So the delegations that have ended are remembered for a while.
    """

    __slots__ = ("_ended", "_ids", "_keys", "_last_key")

    def __init__(self) -> None:
        self._last_key = 0
        self._ids: dict[int, DelegationId] = {}
        self._keys: dict[DelegationId, int] = {}
        self._ended: OrderedDict[DelegationId, str | None] = OrderedDict()

    def has_ended(self, sender: ProcessId, message: DelegatedRequest) -> bool:
        """Return whether a request was cancelled, declined or replied to before this message came.

        The number alone does not tell: an earlier process of a peer that states no incarnation may
        have given it to another request.
        """
        delegation_id = DelegationId(sender, message.number)
        if delegation_id not in self._ended:
            return False
        return self._ended[delegation_id] in (None, message.request_id)

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
        """Remove a request; return its key, or None if it is not open."""
        key = self._keys.pop(DelegationId(sender, number), None)
        if key is not None:
            del self._ids[key]
        return key

    def cancel(self, sender: ProcessId, number: int) -> int | None:
        """Remove a request cancelled by its sender; return its key, or None if it is not open.

        Its message may still be to come.
        """
        delegation_id = DelegationId(sender, number)
        if delegation_id not in self._ended:
            self._record_ended(delegation_id, None)
        return self.pop_key(sender, number)

    def pop_keys_of(self, sender: ProcessId) -> list[int]:
        """Remove the requests of a process that is gone; return their keys."""
        numbers = [found.number for found in self._keys if found.sender == sender]
        keys = [self.pop_key(sender, number) for number in numbers]
        return [key for key in keys if key is not None]

    def pop_final_reply(self, open_request: OpenRequest) -> tuple[ProcessId, DelegatedReply]:
        """Remove a request that ends; return the process that sent it, and the final reply."""
        delegation_id = self._ids.pop(open_request.request.key)
        del self._keys[delegation_id]
        self._record_ended(delegation_id, open_request.request.request_id)
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

    def record_declined(self, sender: ProcessId, message: DelegatedRequest) -> None:
        """Record that a request was declined, so that its sender now sends the shards itself."""
        self._record_ended(DelegationId(sender, message.number), message.request_id)

    def _record_ended(self, delegation_id: DelegationId, request_id: str | None) -> None:
        self._ended[delegation_id] = request_id
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

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
