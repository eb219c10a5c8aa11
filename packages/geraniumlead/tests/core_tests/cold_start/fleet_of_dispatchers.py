from heapq import heappop, heappush

from core_tests.builders import build_contract, build_instance, build_traffic_class, build_upstream
from geraniumlead.cold_start import ColdStartGuard
from geraniumlead.configuration import ClusterView, PlacedUpstream
from geraniumlead.dispatch import (
    Dispatcher,
    DispatchStep,
    EndCall,
    NotifyOwners,
    StartCall,
    StopCall,
)
from geraniumlead.ownership import OwnerTable
from geraniumlead.settings import TimingSettings
from geraniumlead.upstreams import Subquery, TimedOut, UpstreamAnswer

UPSTREAM = "ledger-0"
LAG_MS = 1_000.0
GAP_MS = 300.0
DEADLINE_MS = 200


class ConfirmedView:
    """A view confirmation that always succeeds. The majority of peers is tested separately."""

    def is_confirmed(self, now_ms: float) -> bool:
        """Return True."""
        return True


class FleetOfDispatchers:
    """Dispatchers of one upstream, each with a view of a different age.

    It also holds the lists in transit to them and the calls in flight at the upstream.
    """

    def __init__(self, count: int, allowance: int, list_lag_ms: float) -> None:
        self.now_ms = 0.0
        self.names = [f"noord-{number}" for number in range(count)]
        self.at_upstream: dict[str, tuple[str, float]] = {}
        self.max_concurrent = 0
        self.paused_until_ms = dict.fromkeys(self.names, 0.0)
        self._allowance = allowance
        self._published = 0
        self._delivered = dict.fromkeys(self.names, 0)
        self._in_transit: list[tuple[float, int, str, ClusterView]] = []
        self._calls = 0
        timing = TimingSettings(list_lag_ms=list_lag_ms, pause_gap_ms=GAP_MS)
        self.guards = {name: ColdStartGuard(name, timing, ConfirmedView()) for name in self.names}
        self.dispatchers = {name: Dispatcher(name, self.guards[name]) for name in self.names}

    def publish(self, listed: list[int], lags_ms: list[float]) -> None:
        """Publish a list of instances, which reaches each instance after its own lag."""
        self._published += 1
        view = ClusterView(
            contracts={
                "acme": build_contract(classes=[build_traffic_class(deadline_ms=DEADLINE_MS)])
            },
            upstreams={
                UPSTREAM: PlacedUpstream(build_upstream(cold_allowance=self._allowance), "noord")
            },
            instances={"noord": tuple(build_instance(number) for number in listed)},
        )
        for name, lag_ms in zip(self.names, lags_ms, strict=True):
            heappush(self._in_transit, (self.now_ms + lag_ms, self._published, name, view))

    def submit(self, name: str, idempotent: bool = True) -> None:
        """Ask an instance to call the upstream, unless its process is paused."""
        if self.now_ms < self.paused_until_ms[name]:
            return
        self._calls += 1
        subquery = Subquery(
            call_id=f"c{self._calls}",
            request_id="r",
            upstream_id=UPSTREAM,
            service="ledger",
            index_version=1,
            shard=0,
            remaining_ms=float(DEADLINE_MS),
            query=b"{}",
            idempotent=idempotent,
            customer="acme",
            class_name="lookup",
        )
        self.guards[name].tick(self.now_ms)
        self._carry_out(name, self.dispatchers[name].submit(subquery, None, self.now_ms))

    def answer(self, call_id: str, answer: UpstreamAnswer) -> None:
        """End a call at the upstream. A paused process does not receive the answer."""
        name, _ = self.at_upstream.pop(call_id)
        if self.now_ms >= self.paused_until_ms[name]:
            self._carry_out(name, self.dispatchers[name].finish(call_id, answer, self.now_ms))

    def advance(self, by_ms: float) -> None:
        """Advance the time in steps of 10 ms, so that no event is skipped."""
        end_ms = self.now_ms + by_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + 10.0)
            self._expire()
            self._deliver()
            for name, dispatcher in self.dispatchers.items():
                if self.now_ms >= self.paused_until_ms[name]:
                    self.guards[name].tick(self.now_ms)
                    self._carry_out(name, dispatcher.wake(self.now_ms))

    def _expire(self) -> None:
        for call_id, (_, end_ms) in list(self.at_upstream.items()):
            if end_ms <= self.now_ms:
                self.answer(call_id, TimedOut())

    def _deliver(self) -> None:
        postponed = []
        while self._in_transit and self._in_transit[0][0] <= self.now_ms:
            _, version, name, view = heappop(self._in_transit)
            if self.now_ms < self.paused_until_ms[name]:
                postponed.append((self.paused_until_ms[name], version, name, view))
            elif version > self._delivered[name]:
                self._delivered[name] = version
                dispatcher = self.dispatchers[name]
                steps = dispatcher.update(view, OwnerTable(view), version, self.now_ms)
                self._carry_out(name, steps)
        for item in postponed:
            heappush(self._in_transit, item)

    def _carry_out(self, name: str, steps: list[DispatchStep]) -> None:
        for step in steps:
            match step:
                case StartCall():
                    end_ms = self.now_ms + step.timeout_ms
                    self.at_upstream[step.subquery.call_id] = (name, end_ms)
                    self.max_concurrent = max(self.max_concurrent, len(self.at_upstream))
                case StopCall(call_id=call_id):
                    self.at_upstream.pop(call_id, None)
                case EndCall() | NotifyOwners():
                    pass
