"""Let a peer that is nearer to the upstreams ask some of a request's shards."""

from collections.abc import Sequence
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random

from geraniumlead.fleet import FleetView
from geraniumlead.forwarding.open_request import Leg, OpenRequest
from geraniumlead.peering import (
    DelegatedRequest,
    DelegationCancelled,
    KnownPeer,
    PeerDirectory,
)
from geraniumlead.peering.peer_letter import PeerLetter
from geraniumlead.routes import FanOut, Route
from geraniumlead.settings.forwarding_settings import ForwardingSettings

LEAST_LEGS = 3
"""Shards that are worth a message to a peer instead of a request each. A message there and its
reply weigh about as much as one and a half requests with their answers."""

UNKNOWN_WAY_MS = 40.0
"""Guess of the time of the way before it is measured; today's longest is 20 ms."""

TAKEN_SLACK_MS = 40.0
"""How much longer than the way there and back a peer may take to say that it serves a request.
Its loop is seldom busy for more than some ms, and the request then still meets its goal."""

MOST_TAKEN_GOAL_SHARE = 0.6
"""Part of the goal in which a peer's word has to be due: if it never comes, the upstreams are
asked from here, which takes the rest. The tightest of today's goals needs 0.53 (150 ms, 20 ms
away)."""

REPLY_SLACK_MS = 40.0
"""How much later than it was asked to a peer may reply, besides the way and its word."""

PEER_WORK_MS = 3.0
"""What the peer's own work takes from the goal."""

LEAST_GOAL_LEFT_MS = 10.0
"""Time below which a peer can't bring anything before the goal; upstreams work for longer."""

MOST_OPEN = 200
"""Requests that one peer may have of this instance; more would only wait in its loop."""


@dataclass(slots=True)
class Delegation:
    """Shards of a request that a peer was asked to ask."""

    number: int
    opened: OpenRequest
    legs: list[Leg]
    peer: KnownPeer
    due_ms: float
    reply_due_ms: float
    is_taken: bool = False


class Delegations:
    """Choose peers for shards that go to another region.

    Load pattern: an index over many shards, each with upstreams in some regions only. Every
    query crosses the regions once for each shard that is elsewhere, there and back, and the
    bytes between regions cost more than machines, processors and memory together. A peer
    beside those upstreams asks them all for one message, and sends one merged answer.

    Failure: the peer is gone, or the way to it. It has to say at once that it took the
    request; without that the shards are asked from here while the goal can still be met.
    """

    __slots__ = ("_directory", "_fleet", "_next", "_open", "_random", "_settings", "_wakes")

    def __init__(
        self,
        settings: ForwardingSettings,
        fleet: FleetView,
        directory: PeerDirectory,
        random: Random,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._directory = directory
        self._random = random
        self._open: dict[int, Delegation] = {}
        self._wakes: list[tuple[float, int]] = []
        self._next = 0

    def find_peer(
        self, opened: OpenRequest, legs: Sequence[Leg], now_ms: float
    ) -> tuple[KnownPeer, list[Leg]] | None:
        """Return the peer that should ask shards, and which; None to ask all from here.

        Shards that are elsewhere may be in several regions: most of them go to one peer.
        """
        if len(legs) < LEAST_LEGS or opened.request.is_delegated:
            return None
        groups = self._group_by_region(legs, opened.route)
        sizes = {len(group) for group in groups.values() if len(group) >= LEAST_LEGS}
        for size in sorted(sizes, reverse=True):
            regions = [region for region, group in groups.items() if len(group) == size]
            peers = [peer for region in regions for peer in self._peers_in(region, opened, now_ms)]
            if peers:
                peer = min(peers, key=self._load_of)
                return peer, groups[self._settings.regions[peer.contact.data_centre]]
        return None

    def start(
        self, opened: OpenRequest, legs: list[Leg], peer: KnownPeer, now_ms: float
    ) -> PeerLetter:
        """Ask a peer to ask the shards."""
        self._next += 1
        way_ms = _way_ms(peer)
        request = opened.request
        time_left_ms = max(0.0, opened.end_ms - now_ms - way_ms)
        goal_left_ms = opened.goal_ms - now_ms - 2.0 * way_ms - PEER_WORK_MS
        if goal_left_ms < LEAST_GOAL_LEFT_MS:
            # It will be late in any case, and then only needs enough shards.
            goal_left_ms = time_left_ms - way_ms
        due_ms = now_ms + _word_ms(peer)
        reply_due_ms = due_ms + goal_left_ms + REPLY_SLACK_MS
        delegation = Delegation(self._next, opened, legs, peer, due_ms, reply_due_ms)
        self._open[delegation.number] = delegation
        heappush(self._wakes, (due_ms, delegation.number))
        peer.open_delegations += 1
        opened.delegation = delegation.number
        message = DelegatedRequest(
            number=delegation.number,
            version=opened.configuration.version,
            route=opened.route.name,
            shards=tuple(leg.service for leg in legs),
            request_id=request.request_id,
            method=request.method,
            host=request.host,
            path=request.path,
            target=request.target,
            headers=request.headers,
            body=request.body,
            time_left_ms=time_left_ms,
            goal_left_ms=goal_left_ms,
        )
        return PeerLetter(peer.contact.instance_id, peer.contact.address, message)

    def note_taken(self, number: int) -> None:
        """Note that a peer serves a request; from now on it has until the goal to reply.

        Failure: the peer dies after its word. Without a second time the request would wait
        for its reply until its caller gives up.
        """
        delegation = self._open.get(number)
        if delegation is None or delegation.is_taken:
            return
        delegation.is_taken = True
        delegation.due_ms = delegation.reply_due_ms
        heappush(self._wakes, (delegation.due_ms, number))

    def take_reply(self, number: int, is_final: bool) -> Delegation | None:
        """Return the delegation that a reply is for, and take it out with the final one."""
        if is_final:
            return self.take(number)
        delegation = self._open.get(number)
        if delegation is not None:
            delegation.is_taken = True
            delegation.due_ms = float("inf")
        return delegation

    def take(self, number: int) -> Delegation | None:
        """Take a delegation out that has its reply; None when nobody waits for it."""
        delegation = self._open.pop(number, None)
        if delegation is not None:
            delegation.peer.open_delegations -= 1
            delegation.opened.delegation = None
        return delegation

    def cancel(self, opened: OpenRequest) -> PeerLetter | None:
        """Forget a request's delegation; return what the peer is told."""
        if opened.delegation is None:
            return None
        delegation = self.take(opened.delegation)
        return None if delegation is None else self._cancel_letter(delegation)

    def take_overdue(self, now_ms: float) -> list[tuple[Delegation, PeerLetter]]:
        """Take out what peers did not take in time, and what they are told."""
        overdue = []
        while self._wakes and self._wakes[0][0] <= now_ms:
            due_ms, number = heappop(self._wakes)
            delegation = self._open.get(number)
            if delegation is None or delegation.due_ms != due_ms:
                continue
            self.take(number)
            # Nothing more is passed to it until it is heard again.
            delegation.peer.silent_ms = now_ms
            overdue.append((delegation, self._cancel_letter(delegation)))
        return overdue

    def next_wake_ms(self) -> float:
        """Return when ``take_overdue`` has something to do."""
        return self._wakes[0][0] if self._wakes else float("inf")

    def _is_near_enough(self, peer: KnownPeer, goal_left_ms: float) -> bool:
        """Return whether a peer that stays silent is noticed while the goal can be met."""
        if goal_left_ms < LEAST_GOAL_LEFT_MS:
            return True
        return _word_ms(peer) <= MOST_TAKEN_GOAL_SHARE * goal_left_ms

    def _cancel_letter(self, delegation: Delegation) -> PeerLetter:
        contact = delegation.peer.contact
        message = DelegationCancelled(delegation.number)
        return PeerLetter(contact.instance_id, contact.address, message)

    def _load_of(self, peer: KnownPeer) -> tuple[int, float]:
        return peer.open_delegations, self._random.random()

    def _peers_in(self, region: str, opened: OpenRequest, now_ms: float) -> list[KnownPeer]:
        """Return the peers of a region that may be asked now."""
        goal_left_ms = opened.goal_ms - now_ms
        return [
            peer
            for peer in self._directory.peers.values()
            if self._settings.regions.get(peer.contact.data_centre) == region
            and self._directory.is_reached(peer, now_ms)
            and peer.is_ready
            and peer.version >= opened.configuration.version
            and peer.open_delegations < MOST_OPEN
            and self._is_near_enough(peer, goal_left_ms)
        ]

    def _group_by_region(self, legs: Sequence[Leg], route: Route) -> dict[str, list[Leg]]:
        """Return the shards that have an upstream in each of the other regions."""
        groups: dict[str, list[Leg]] = {}
        for leg in legs:
            for region in sorted(self._regions_of(leg.service, route)):
                groups.setdefault(region, []).append(leg)
        return groups

    def _regions_of(self, service: str, route: Route) -> set[str]:
        """Return the other regions where a service has an upstream that may be used."""
        found = {
            region
            for record in self._fleet.usable(service)
            if (region := self._settings.regions.get(record.data_centre)) is not None
        }
        if route.allowed_regions:
            found &= route.allowed_regions
        return found - {self._settings.region}


def _way_ms(peer: KnownPeer) -> float:
    way_ms = peer.way_ms
    return UNKNOWN_WAY_MS if way_ms is None else way_ms


def _word_ms(peer: KnownPeer) -> float:
    """Return the time within which a peer says that it serves a request."""
    return 2.0 * _way_ms(peer) + TAKEN_SLACK_MS


def find_delegated_route(message: DelegatedRequest, configuration) -> Route | None:
    """Return the route by which a peer's request is served; None when it has to be declined.

    An older configuration than the sender's would serve the request by a version that the
    sender has already left.
    """
    if configuration is None or configuration.version < message.version:
        return None
    route = configuration.routes.find(message.host, message.path)
    if route is None or route.name != message.route:
        return None
    match route.target:
        case FanOut(shards=shards) if set(message.shards) <= set(shards):
            return route
    return None
