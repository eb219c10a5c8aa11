"""Run instances that follow one store in virtual time, and record the age of their views."""

import asyncio
from collections.abc import Callable, Coroutine
from itertools import count
from random import Random

import async_solipsism

from geraniumlead.forwarding import ConfigurationSeen, PublishedUpdates, StoreLost, UpstreamSeen
from geraniumlead.peering import StoreUpdates, decode_peering, encode_peering
from geraniumlead_server.store_callbacks import StoreCallbacks
from geraniumlead_server.store_follower import StoreFollower
from geraniumlead_standins.forwarding import StoreContents, StubUpstream, VirtualStoreClient

PAGE_ITEMS = 500
HEARTBEAT_S = 1.2
COLD_HEARTBEATS = 5
MARK_INTERVAL_S = 0.1
AGE_CHECK_INTERVAL_S = 0.05
ONE_WAY_DELAY_S = 0.02
MARKER = "marker"
CONFIGURATION_PAUSE_S = 0.4
LARGE_ROUTES = 3_300


def build_routes(count: int) -> list[dict]:
    """Return routes as operators publish them; 3,300 of them take 400 KB."""
    return [
        {
            "name": f"r-{number}",
            "hostname": "h.example",
            "prefix": f"/{number}/",
            "type": "safe",
            "timeoutMs": 1000,
            "maxAttempts": 2,
            "service": "reader",
        }
        for number in range(count)
    ]


def run_in_virtual_time(coroutine: Coroutine) -> None:
    """Run a coroutine to its end without waiting for its sleeps and timeouts."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        runner.run(coroutine)


class MarkedStore:
    """A store in which upstreams start, and one marker entry changes all the time.

    Upstreams change their entries with each heartbeat while they are cold; later heartbeats
    change nothing. The changes of the marker entry are numbered, and the time of each is recorded:
    the view of an instance that has not received change n is as old as change n.
    """

    def __init__(self, upstream_count: int) -> None:
        self.contents = StoreContents(PAGE_ITEMS)
        self._marked_s: list[float] = []
        self._entry = StubUpstream("x").entry("reader") | {"addr": "10.0.0.1:80"}
        self._tasks: list[asyncio.Task] = []
        for number in range(upstream_count):
            self.put_upstream(f"i-{number}")

    def start_marking(self) -> None:
        """Start to change the marker entry at regular intervals."""
        self._tasks.append(asyncio.create_task(self._mark()))

    def start_upstreams(self, upstream_count: int) -> None:
        """Start cold upstreams together."""
        for number in range(upstream_count):
            delay_s = HEARTBEAT_S * number / upstream_count
            self._tasks.append(asyncio.create_task(self._warm_up(f"new-{number}", delay_s)))

    def put_upstream(self, name: str, **changes) -> None:
        """Write an upstream's entry."""
        self.contents.put(f"servers/{name}", self._entry | changes)

    async def write_large_configurations(self) -> None:
        """Publish configurations of some 400 KB one after another."""
        for version in count(1):
            self.put_configuration(version, LARGE_ROUTES)
            await asyncio.sleep(CONFIGURATION_PAUSE_S)

    def put_configuration(self, version: int, route_count: int) -> None:
        """Publish a configuration with a number of routes."""
        body = {"version": version, "routes": build_routes(route_count), "services": []}
        self.contents.put("op/config", body)

    def age_s(self, marker_number: int | None, now_s: float) -> float:
        """Return the age of a view that has the marker changes up to this number; None for none."""
        following = 0 if marker_number is None else marker_number + 1
        if following >= len(self._marked_s):
            return 0.0
        return now_s - self._marked_s[following]

    async def _warm_up(self, name: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        for heartbeats_left in range(COLD_HEARTBEATS, -1, -1):
            self.put_upstream(name, warmupLeftMs=heartbeats_left * HEARTBEAT_S * 1000.0)
            await asyncio.sleep(HEARTBEAT_S)

    async def _mark(self) -> None:
        while True:
            self.put_upstream(MARKER, slots=len(self._marked_s) + 1)
            self._marked_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(MARK_INTERVAL_S)


class ReadingInstance:
    """An instance that follows a marked store and records its latest change of the marker entry."""

    def __init__(
        self,
        store: MarkedStore,
        bound_ms: float,
        seed: int,
        callbacks: StoreCallbacks | None = None,
    ) -> None:
        self._store = store
        self.client = VirtualStoreClient(store.contents, ONE_WAY_DELAY_S)
        self.marker_number: int | None = None
        self.version: int | None = None
        self.known: dict[str, UpstreamSeen] = {}
        self.follower = StoreFollower(
            self.client, bound_ms, self._handle_event, Random(seed), callbacks
        )
        self._unread: list[Callable[[], None]] = []
        self._as_of_s = float("-inf")

    @property
    def age_s(self) -> float:
        """Return the true age of the view."""
        return self._store.age_s(self.marker_number, asyncio.get_running_loop().time())

    @property
    def estimated_age_s(self) -> float:
        """Return the age of the view as the instance estimates it."""
        return asyncio.get_running_loop().time() - self._as_of_s

    async def freeze(self, seconds: float) -> None:
        """Freeze for a time; messages that arrive meanwhile are read afterwards."""
        self.client.is_running.clear()
        await asyncio.sleep(seconds)
        self.client.is_running.set()
        for read in self._unread:
            read()
        self._unread.clear()

    def when_running(self, read: Callable[[], None]) -> None:
        """Call ``read`` now, or after the freeze."""
        if self.client.is_running.is_set():
            read()
        else:
            self._unread.append(read)

    def _handle_event(self, event: PublishedUpdates | StoreLost) -> None:
        if isinstance(event, StoreLost):
            return
        now_s = asyncio.get_running_loop().time()
        self._as_of_s = max(self._as_of_s, now_s - event.age_ms / 1000.0)
        for item in event.updates:
            match item:
                case UpstreamSeen(record=record):
                    self.known[record.upstream_id] = item
                case ConfigurationSeen(configuration=configuration):
                    self.version = configuration.version
        marked = self.known.get(MARKER)
        self.marker_number = None if marked is None else marked.record.slots - 1


async def max_age_s(members: list[ReadingInstance], seconds: float) -> float:
    """Let time pass; return the greatest age that any view had meanwhile."""
    return await _maximum_during(lambda: max(member.age_s for member in members), seconds)


async def max_estimated_age_s(members: list[ReadingInstance], seconds: float) -> float:
    """Let time pass; return the greatest age that any instance estimated for its view."""
    return await _maximum_during(lambda: max(member.estimated_age_s for member in members), seconds)


async def _maximum_during(read_age_s: Callable[[], float], seconds: float) -> float:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    maximum = 0.0
    while loop.time() < end_s:
        await asyncio.sleep(AGE_CHECK_INTERVAL_S)
        maximum = max(maximum, read_age_s())
    return maximum


class ReadingFleet:
    """The instances of one data centre, which read a store for each other.

    ``delays_s`` holds how long the messages of each instance take to its peers, and ``lost`` the
    pairs of sender and receiver between which messages are lost.
    """

    member_type = ReadingInstance

    def __init__(self, store: MarkedStore, bound_ms: float, count: int, seed: int) -> None:
        self.store = store
        self._bound_ms = bound_ms
        self._seed = seed * count
        self.watchers = {0, 1}
        self.has_readers = True
        self.delays_s = [ONE_WAY_DELAY_S] * count
        self.lost: set[tuple[int, int]] = set()
        self.members = [
            self.member_type(store, bound_ms, self._seed + number, self._build_callbacks(number))
            for number in range(count)
        ]
        self._tasks: dict[int, asyncio.Task] = {}

    def start(self) -> None:
        """Start to follow the store with all instances."""
        for number in range(len(self.members)):
            self.start_member(number)

    def start_member(self, number: int) -> None:
        """Start to follow the store with one instance."""
        task = asyncio.create_task(self.members[number].follower.run())
        self._tasks[number] = task

    def kill_member(self, number: int) -> None:
        """End the process of one instance; messages to it are lost."""
        self._tasks.pop(number).cancel()

    def replace_member(self, number: int) -> None:
        """Start a new process of an instance that was killed, which knows nothing."""
        self._seed += len(self.members)
        callbacks = self._build_callbacks(number)
        self.members[number] = self.member_type(
            self.store, self._bound_ms, self._seed + number, callbacks
        )
        self.start_member(number)

    def stop(self) -> None:
        """Stop all instances."""
        for task in self._tasks.values():
            task.cancel()

    def _build_callbacks(self, number: int) -> StoreCallbacks:
        return StoreCallbacks(
            is_watcher=lambda: number in self.watchers,
            has_readers=lambda: self.has_readers,
            relay=lambda updates: self._relay(number, updates),
            request_state=lambda revision: self._request_state(number, revision),
        )

    def _relay(self, sender: int, updates: StoreUpdates) -> None:
        if not self.has_readers:
            return
        data = encode_peering(updates)
        loop = asyncio.get_running_loop()
        for receiver in range(len(self.members)):
            if receiver != sender and (sender, receiver) not in self.lost:
                loop.call_later(self.delays_s[sender], self._deliver, sender, receiver, data)

    def _request_state(self, requester: int, revision: int | None) -> None:
        """Let the next member reply, if its messages arrive and it has a reply."""
        responder = (requester + 1) % len(self.members)
        if responder not in self._tasks:
            return
        updates = self.members[responder].follower.build_state_reply(revision)
        if updates is not None and (responder, requester) not in self.lost:
            loop = asyncio.get_running_loop()
            data = encode_peering(updates)
            loop.call_later(
                2.0 * self.delays_s[responder], self._deliver, responder, requester, data
            )

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        if receiver not in self._tasks:
            return
        member = self.members[receiver]
        member.when_running(lambda: self._read(sender, member, decode_peering(data)))

    def _read(self, sender: int, member: ReadingInstance, updates: StoreUpdates) -> None:
        delay_ms = asyncio.get_running_loop().time() * 1000.0 - updates.sent_ms
        member.follower.handle_relayed(
            updates, f"entry-{sender}", delay_ms - ONE_WAY_DELAY_S * 1000.0
        )
