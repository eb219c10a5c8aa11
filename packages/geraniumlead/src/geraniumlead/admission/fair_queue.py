"""Queue the requests of one priority fairly among contracts."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from geraniumlead.admission.waiting_request import WaitingRequest


@dataclass(slots=True)
class ContractQueue:
    """Hold one contract's requests by deadline, and the virtual time when it is served next."""

    weight: int
    start_tag: float
    heap: list[tuple[float, int, WaitingRequest]] = field(default_factory=list)
    cost: float = 0.0
    length: int = 0


class FairQueue:
    """Serve contracts by weight, and within one contract the earliest deadline first.

    Load pattern: one customer floods the queue. With one common order its requests would
    stand before everybody's. Start-time fair queueing (Goyal, Vin and Cheng, 1996) gives
    each waiting contract service in proportion to its weight, at a logarithm of the number
    of waiting contracts. Deficit round robin costs less, but serves in rounds, so that a
    request with a short deadline would wait for a turn of every contract.
    """

    __slots__ = (
        "_active_weight",
        "_contracts",
        "_order",
        "_serial",
        "_virtual_time",
        "cost",
        "length",
    )

    def __init__(self) -> None:
        self._contracts: dict[str, ContractQueue] = {}
        self._order: list[tuple[float, int, str]] = []
        self._serial = count()
        self._virtual_time = 0.0
        self._active_weight = 0
        self.length = 0
        self.cost = 0.0

    def push(self, item: WaitingRequest) -> None:
        """Add a request."""
        customer = item.request.customer
        queue = self._contracts.get(customer)
        if queue is None:
            queue = self._contracts[customer] = ContractQueue(item.weight, self._virtual_time)
        if not queue.length:
            queue.start_tag = max(queue.start_tag, self._virtual_time)
            heappush(self._order, (queue.start_tag, next(self._serial), customer))
            queue.weight = item.weight
            self._active_weight += queue.weight
        heappush(queue.heap, (item.request.deadline_ms, next(self._serial), item))
        self._count(queue, item, 1)

    def pop(self) -> WaitingRequest | None:
        """Remove and return the request that is served next."""
        while self._order:
            tag, _, customer = heappop(self._order)
            queue = self._contracts.get(customer)
            if queue is None or tag != queue.start_tag:
                continue
            item = self._pop_live(queue)
            if item is None:
                continue
            self._virtual_time = tag
            queue.start_tag = tag + item.cost / queue.weight
            if queue.length:
                heappush(self._order, (queue.start_tag, next(self._serial), customer))
            self._forget_idle()
            return item
        return None

    def remove(self, item: WaitingRequest) -> None:
        """Take a request out of the order; its entry is skipped when it comes up."""
        queue = self._contracts[item.request.customer]
        item.is_gone = True
        self._count(queue, item, -1)
        if not queue.length:
            queue.heap.clear()

    def queued_of(self, customer: str) -> tuple[int, float]:
        """Return the number and cost of one contract's waiting requests."""
        queue = self._contracts.get(customer)
        return (0, 0.0) if queue is None else (queue.length, queue.cost)

    def cost_before(self, item: WaitingRequest) -> float:
        """Estimate the cost that is served before a new request.

        The contract's own queue is served at its weight's part, so the others together get
        their weights' part of it, but never more than they have queued.
        """
        _, own = self.queued_of(item.request.customer)
        queue = self._contracts.get(item.request.customer)
        is_waiting = queue is not None and queue.length > 0
        other_weight = self._active_weight - (queue.weight if is_waiting else 0)
        others = min(self.cost - own, (own + item.cost) * other_weight / item.weight)
        return own + max(0.0, others)

    def _pop_live(self, queue: ContractQueue) -> WaitingRequest | None:
        while queue.heap:
            _, _, item = heappop(queue.heap)
            if not item.is_gone:
                self._count(queue, item, -1)
                return item
        return None

    def _count(self, queue: ContractQueue, item: WaitingRequest, sign: int) -> None:
        queue.length += sign
        if not queue.length:
            self._active_weight -= queue.weight
        queue.cost = max(0.0, queue.cost + sign * item.cost) if queue.length else 0.0
        self.length += sign
        self.cost = max(0.0, self.cost + sign * item.cost) if self.length else 0.0

    def _forget_idle(self) -> None:
        # An empty queue has no claim that outlives the virtual time, so it is forgotten.
        if not self.length:
            self._contracts.clear()
            self._order.clear()
            self._virtual_time = 0.0
