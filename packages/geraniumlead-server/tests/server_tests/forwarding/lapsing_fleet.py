"""Run instances that follow one store in virtual time, while upstreams leave it and outages end."""

import asyncio
from collections.abc import Iterable
from random import Random

from geraniumlead.forwarding import (
    Forwarder,
    ForwardingSettings,
    PublishedUpdates,
    StoreLost,
    TimePassed,
)
from geraniumlead_standins.forwarding import StoreAccess
from server_tests.forwarding.reading_fleet import (
    MarkedStore,
    ReadingFleet,
    ReadingInstance,
)

SERVICE = "reader"
HEARTBEAT_S = 1.2
LAPSE_AFTER_S = 3.0 * HEARTBEAT_S
MAX_REPUBLISH_S = 2.0
"""Time after an outage in which live upstreams publish their entries again."""

CHECK_INTERVAL_S = 0.05
CONTACT_S = 4.0
"""Time after its start from which an instance is judged."""

DOWN_S = 0.5


def now_s() -> float:
    """Return the virtual time."""
    return asyncio.get_running_loop().time()


class LapsingStore(MarkedStore):
    """A store in which upstreams renew their entries, leave, and lapse while it is away.

    ``removed_s`` holds when each upstream was removed while the store answered everybody.
    """

    def __init__(self, upstream_count: int, seed: int) -> None:
        super().__init__(0)
        self._random = Random(seed)
        self._renewed_s: dict[str, float] = {}
        self._last_number = 0
        self.is_away = False
        self.removed_s: dict[str, float] = {}
        self.put_configuration(1, 1)
        for _ in range(upstream_count):
            self._enter()

    def start_renewing(self) -> None:
        """Start the heartbeats of the upstreams."""
        self._tasks.append(asyncio.create_task(self._renew()))

    async def replace_upstreams(self, interval_s: float) -> None:
        """Replace upstreams one after the other."""
        while True:
            await asyncio.sleep(interval_s * self._random.uniform(0.8, 1.2))
            self._enter()
            self.remove(next(iter(self._renewed_s)))

    def remove(self, name: str) -> None:
        """Remove an upstream, as operators do that take it away."""
        del self._renewed_s[name]
        self.contents.delete(f"servers/{name}")
        self.removed_s[name] = now_s()

    def live(self) -> set[str]:
        """Return the upstreams that are alive, listed or not."""
        return set(self._renewed_s)

    async def come_back(self) -> None:
        """Return from an outage without the entries that lapsed meanwhile."""
        self.is_away = False
        lapsed = [n for n, at_s in self._renewed_s.items() if now_s() - at_s >= LAPSE_AFTER_S]
        for name in lapsed:
            self.contents.delete(f"servers/{name}")
        for number, name in enumerate(lapsed):
            await asyncio.sleep(MAX_REPUBLISH_S / len(lapsed) if number else 0.0)
            self._publish(name)

    def _enter(self) -> None:
        self._last_number += 1
        self._publish(f"i-{self._last_number}")

    def _publish(self, name: str) -> None:
        self._renewed_s[name] = now_s()
        self.put_upstream(name, service=SERVICE, seq=int(1000.0 * self._renewed_s[name]))

    async def _renew(self) -> None:
        while True:
            due = [n for n, at_s in self._renewed_s.items() if now_s() - at_s >= HEARTBEAT_S]
            for name in () if self.is_away else due:
                self._publish(name)
            await asyncio.sleep(HEARTBEAT_S / 10.0)


class UsingInstance(ReadingInstance):
    """An instance that uses the upstreams of the store as its forwarder decides.

    ``held_reads`` counts the reads that it took for ones after an outage.
    """

    def __init__(self, *arguments) -> None:
        self.forwarder = Forwarder(ForwardingSettings("entry-1", "noord-a"), Random(1))
        self.started_s = asyncio.get_running_loop().time()
        self.held_reads = 0
        super().__init__(*arguments)

    def used(self) -> set[str]:
        """Return the upstreams that requests may be sent to now."""
        now_ms = now_s() * 1000.0
        if self.forwarder.next_wake_ms() <= now_ms:
            self.forwarder.handle(TimePassed(), now_ms)
        return {
            record.upstream_id for record in self.forwarder.published._upstream_view.usable(SERVICE)
        }

    def _handle_event(self, event: PublishedUpdates | StoreLost) -> None:
        super()._handle_event(event)
        self.forwarder.handle(event, now_s() * 1000.0)
        if isinstance(event, PublishedUpdates) and event.returned_age_ms is not None:
            self.held_reads += 1


class UsingFleet(ReadingFleet):
    """Instances of one data centre that use what two of them read from the store."""

    member_type = UsingInstance

    async def restart(self, number: int) -> None:
        """Kill an instance and start it again."""
        self.kill_member(number)
        await asyncio.sleep(DOWN_S)
        self.replace_member(number)

    async def restart_readers(self, pause_s: float) -> None:
        """Restart the two instances that read the store, one soon after the other, for ever."""
        while True:
            for number in sorted(self.watchers):
                await self.restart(number)
                await asyncio.sleep(DOWN_S)
            await asyncio.sleep(pause_s)

    def set_access(self, access: StoreAccess, numbers: Iterable[int] | None = None) -> None:
        """Set how the store treats all instances, or some."""
        for number in range(len(self.members)) if numbers is None else numbers:
            self.members[number].client.access = access

    async def longest_use_s(self, seconds: float) -> float:
        """Let time pass; return the longest time for which an upstream was used after its removal.

        Instances that have just started are not judged.
        """
        end_s, longest_s = now_s() + seconds, 0.0
        while now_s() < end_s:
            await asyncio.sleep(CHECK_INTERVAL_S)
            removed = self.store.removed_s
            for member in self.members:
                if now_s() - member.started_s < CONTACT_S:
                    continue
                for name in member.used() & removed.keys():
                    longest_s = max(longest_s, now_s() - removed[name])
        return longest_s

    async def lost_upstreams(self, seconds: float, judged: list[UsingInstance]) -> set[str]:
        """Let time pass; return the live upstreams that an instance stopped to use meanwhile."""
        end_s, lost = now_s() + seconds, set()
        while now_s() < end_s:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for member in judged:
                lost |= self.store.live() - member.used()
        return lost
