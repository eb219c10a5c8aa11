from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from geraniumlead.admission.waiting_request import WaitingRequest


@dataclass(slots=True)
class ContractQueue:
    """The waiting requests of one contract by deadline, and its next virtual start time."""

    weight: int
    start_tag: float
    heap: list[tuple[float, int, WaitingRequest]] = field(default_factory=list)
    cost: float = 0.0
    length: int = 0


class FairQueue:
    """A queue that serves contracts by weight and each contract by earliest deadline first.

    Load pattern: one customer floods the queue. In a single ordered queue its requests would
    be served before those of all others. Start-time fair queueing (Goyal, Vin and Cheng, 1996)
    serves each waiting contract in proportion to its weight, in time logarithmic in the number
    of waiting contracts. Deficit round robin costs less, but serves in rounds, so a request
    with a short deadline would wait until every other contract had been served.
    """

    __slots__ = (
        "_active_weight",
        "_queues",
        "_serial",
        "_start_order",
        "_virtual_time",
        "cost",
        "length",
    )

    def __init__(self) -> None:
        self._queues: dict[str, ContractQueue] = {}
        self._start_order: list[tuple[float, int, str]] = []
        self._serial = count()
        self._virtual_time = 0.0
        self._active_weight = 0
        self.length = 0
        self.cost = 0.0

    def push(self, item: WaitingRequest) -> None:
        """Add a request."""
        customer = item.request.customer
        queue = self._queues.get(customer)
        if queue is None:
            queue = self._queues[customer] = ContractQueue(item.weight, self._virtual_time)
        if not queue.length:
            queue.start_tag = max(queue.start_tag, self._virtual_time)
            heappush(self._start_order, (queue.start_tag, next(self._serial), customer))
            queue.weight = item.weight
            self._active_weight += queue.weight
        heappush(queue.heap, (item.request.deadline_ms, next(self._serial), item))
        self._update_totals(queue, item, 1)

    def pop(self) -> WaitingRequest | None:
        """Remove and return the next request to serve, or None if the queue is empty."""
        while self._start_order:
            tag, _, customer = heappop(self._start_order)
            queue = self._queues.get(customer)
            if queue is None or tag != queue.start_tag:
                continue
            item = self._pop_waiting(queue)
            if item is None:
                continue
            self._virtual_time = tag
            queue.start_tag = tag + item.cost / queue.weight
            if queue.length:
                heappush(self._start_order, (queue.start_tag, next(self._serial), customer))
            self._reset_if_empty()
            return item
        return None

    def remove(self, item: WaitingRequest) -> None:
        """Remove a request. Its heap entry is skipped when it is popped."""
        queue = self._queues[item.request.customer]
        item.is_removed = True
        self._update_totals(queue, item, -1)
        if not queue.length:
            queue.heap.clear()

    def queued_of(self, customer: str) -> tuple[int, float]:
        """Return the number and cost of one contract's waiting requests."""
        queue = self._queues.get(customer)
        return (0, 0.0) if queue is None else (queue.length, queue.cost)

    def cost_ahead(self, item: WaitingRequest) -> float:
        """Estimate the cost that is served before a new request.

        While the queue of its own contract is served, the other contracts are served in
        proportion to their weights, but never more than they have queued.
        """
        _, own = self.queued_of(item.request.customer)
        queue = self._queues.get(item.request.customer)
        is_waiting = queue is not None and queue.length > 0
        other_weight = self._active_weight - (queue.weight if is_waiting else 0)
        others = min(self.cost - own, (own + item.cost) * other_weight / item.weight)
        return own + max(0.0, others)

    def _pop_waiting(self, queue: ContractQueue) -> WaitingRequest | None:
        while queue.heap:
            _, _, item = heappop(queue.heap)
            if not item.is_removed:
                self._update_totals(queue, item, -1)
                return item
        return None

    def _update_totals(self, queue: ContractQueue, item: WaitingRequest, sign: int) -> None:
        queue.length += sign
        if not queue.length:
            self._active_weight -= queue.weight
        queue.cost = max(0.0, queue.cost + sign * item.cost) if queue.length else 0.0
        self.length += sign
        self.cost = max(0.0, self.cost + sign * item.cost) if self.length else 0.0

    def _reset_if_empty(self) -> None:
        # An empty queue has no start tags beyond the virtual time, so its state is reset.
        if not self.length:
            self._queues.clear()
            self._start_order.clear()
            self._virtual_time = 0.0
