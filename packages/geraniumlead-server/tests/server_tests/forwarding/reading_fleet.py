"""Build instances that follow one store in virtual time, and measure the age of their views."""

import asyncio
from collections.abc import Callable, Coroutine
from itertools import count
from random import Random

import async_solipsism

from geraniumlead.forwarding import ConfigurationSeen, PublishedUpdates, StoreLost, UpstreamSeen
from geraniumlead.peering import StoreUpdates, decode_peering, encode_peering
from geraniumlead_server.store_duty import StoreDuty
from geraniumlead_server.store_follower import StoreFollower
from geraniumlead_standins.forwarding import StoreContents, StubUpstream, VirtualStoreClient

PAGE_ITEMS = 500
HEARTBEAT_S = 1.2
COLD_HEARTBEATS = 5
MARK_PAUSE_S = 0.1
LOOK_PAUSE_S = 0.05
WAY_S = 0.02
MARKER = "marker"
CONFIGURATION_PAUSE_S = 0.4
LARGE_ROUTES = 3_300


def build_routes(count: int) -> list[dict]:
    """Return routes as operators publish them; 3,300 are 400 KB."""
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


def run_in_virtual_time(work: Coroutine) -> None:
    """Run to its end what sleeps and waits, without waiting."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        runner.run(work)


class MarkedStore:
    """Hold a store in which upstreams start, and one entry changes all the time.

    Upstreams change their entries with each heartbeat while they are cold; later heartbeats
    change nothing. The changes of the one are numbered, and it is known when each was made: an
    instance that has not heard of number n is as old as n.
    """

    def __init__(self, upstream_count: int) -> None:
        self.contents = StoreContents(PAGE_ITEMS)
        self._marked_s: list[float] = []
        self._entry = StubUpstream("x").entry("reader") | {"addr": "10.0.0.1:80"}
        self._tasks: list[asyncio.Task] = []
        for number in range(upstream_count):
            self.put_upstream(f"i-{number}")

    def start_marking(self) -> None:
        """Let the one entry change from now on."""
        self._tasks.append(asyncio.create_task(self._mark()))

    def start_upstreams(self, upstream_count: int) -> None:
        """Let upstreams start together, cold."""
        for number in range(upstream_count):
            delay_s = HEARTBEAT_S * number / upstream_count
            self._tasks.append(asyncio.create_task(self._warm_up(f"new-{number}", delay_s)))

    def put_upstream(self, name: str, **changes) -> None:
        """Write an upstream's entry."""
        self.contents.put(f"servers/{name}", self._entry | changes)

    async def write_large_configurations(self) -> None:
        """Publish a configuration of some 400 KB again and again."""
        for version in count(1):
            self.put_configuration(version, LARGE_ROUTES)
            await asyncio.sleep(CONFIGURATION_PAUSE_S)

    def put_configuration(self, version: int, route_count: int) -> None:
        """Publish a configuration."""
        body = {"version": version, "routes": build_routes(route_count), "services": []}
        self.contents.put("op/config", body)

    def age_s(self, mark: int | None, now_s: float) -> float:
        """Return the age of a view that has seen a mark, or none."""
        following = 0 if mark is None else mark + 1
        if following >= len(self._marked_s):
            return 0.0
        return now_s - self._marked_s[following]

    async def _warm_up(self, name: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        for left in range(COLD_HEARTBEATS, -1, -1):
            self.put_upstream(name, warmupLeftMs=left * HEARTBEAT_S * 1000.0)
            await asyncio.sleep(HEARTBEAT_S)

    async def _mark(self) -> None:
        while True:
            self.put_upstream(MARKER, slots=len(self._marked_s) + 1)
            self._marked_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(MARK_PAUSE_S)


class ReadingInstance:
    """Follow a marked store alone, and remember the newest mark."""

    def __init__(
        self, store: MarkedStore, bound_ms: float, seed: int, duty: StoreDuty | None = None
    ) -> None:
        self._store = store
        self.client = VirtualStoreClient(store.contents, WAY_S)
        self.mark: int | None = None
        self.version: int | None = None
        self.known: dict[str, UpstreamSeen] = {}
        self.follower = StoreFollower(self.client, bound_ms, self._take, Random(seed), duty)
        self._unread: list[Callable[[], None]] = []
        self._read_s = float("-inf")

    @property
    def age_s(self) -> float:
        """Return how old the view is now."""
        return self._store.age_s(self.mark, asyncio.get_running_loop().time())

    @property
    def believed_age_s(self) -> float:
        """Return how old the instance believes its view to be."""
        return asyncio.get_running_loop().time() - self._read_s

    async def freeze(self, seconds: float) -> None:
        """Stand still: what arrives meanwhile is read afterwards."""
        self.client.is_running.clear()
        await asyncio.sleep(seconds)
        self.client.is_running.set()
        for read in self._unread:
            read()
        self._unread.clear()

    def when_running(self, read: Callable[[], None]) -> None:
        """Read a message now, or after the freeze."""
        if self.client.is_running.is_set():
            read()
        else:
            self._unread.append(read)

    def _take(self, event: PublishedUpdates | StoreLost) -> None:
        if isinstance(event, StoreLost):
            return
        now_s = asyncio.get_running_loop().time()
        self._read_s = max(self._read_s, now_s - event.age_ms / 1000.0)
        for item in event.updates:
            match item:
                case UpstreamSeen(record=record):
                    self.known[record.upstream_id] = item
                case ConfigurationSeen(configuration=configuration):
                    self.version = configuration.version
        marked = self.known.get(MARKER)
        self.mark = None if marked is None else marked.record.slots - 1


async def oldest_age_s(members: list[ReadingInstance], seconds: float) -> float:
    """Let time pass; return how old the oldest view was at the worst."""
    return await _worst(lambda: max(member.age_s for member in members), seconds)


async def oldest_believed_age_s(members: list[ReadingInstance], seconds: float) -> float:
    """Let time pass; return how old any instance believed its view to be at the worst."""
    return await _worst(lambda: max(member.believed_age_s for member in members), seconds)


async def _worst(look: Callable[[], float], seconds: float) -> float:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    worst = 0.0
    while loop.time() < end_s:
        await asyncio.sleep(LOOK_PAUSE_S)
        worst = max(worst, look())
    return worst


class ReadingFleet:
    """Let the instances of one data centre read a store for each other.

    ``delays_s`` is how long what an instance tells takes to its peers; ``is_lost`` says of a
    sender and a receiver whether messages between them are lost.
    """

    def __init__(self, store: MarkedStore, bound_ms: float, count: int, seed: int) -> None:
        self.store = store
        self.watchers = {0, 1}
        self.has_readers = True
        self.delays_s = [WAY_S] * count
        self.lost: set[tuple[int, int]] = set()
        self.members = [
            ReadingInstance(store, bound_ms, seed * count + number, self._duty(number))
            for number in range(count)
        ]
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Let all follow the store."""
        for member in self.members:
            self._tasks.append(asyncio.create_task(member.follower.run()))

    def stop(self) -> None:
        """Let all end."""
        for task in self._tasks:
            task.cancel()

    def _duty(self, number: int) -> StoreDuty:
        return StoreDuty(
            is_watcher=lambda: number in self.watchers,
            has_readers=lambda: self.has_readers,
            relay=lambda news: self._relay(number, news),
            ask_state=lambda revision: self._ask_state(number, revision),
        )

    def _relay(self, sender: int, news: StoreUpdates) -> None:
        if not self.has_readers:
            return
        data = encode_peering(news)
        loop = asyncio.get_running_loop()
        for receiver in range(len(self.members)):
            if receiver != sender and (sender, receiver) not in self.lost:
                loop.call_later(self.delays_s[sender], self._deliver, sender, receiver, data)

    def _ask_state(self, asker: int, revision: int | None) -> None:
        """Let the next member answer, as far as it is reached and has something to tell."""
        informant = (asker + 1) % len(self.members)
        news = self.members[informant].follower.tell_state(revision)
        if news is not None and (informant, asker) not in self.lost:
            loop = asyncio.get_running_loop()
            data = encode_peering(news)
            loop.call_later(2.0 * self.delays_s[informant], self._deliver, informant, asker, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        member = self.members[receiver]
        member.when_running(lambda: self._read(sender, member, decode_peering(data)))

    def _read(self, sender: int, member: ReadingInstance, news: StoreUpdates) -> None:
        took_ms = asyncio.get_running_loop().time() * 1000.0 - news.sent_ms
        member.follower.take_relayed(news, f"entry-{sender}", took_ms - WAY_S * 1000.0)
