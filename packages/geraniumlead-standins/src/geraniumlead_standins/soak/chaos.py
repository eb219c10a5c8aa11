import asyncio
from random import Random

from aiohttp import ClientSession
from msgspec import to_builtins
from msgspec.json import encode

from geraniumlead_standins.history import HistoryWriter
from geraniumlead_standins.soak.fleet import Fleet
from geraniumlead_standins.soak.layout import DATA_CENTRES, Layout

MIN_PAUSE_S, MAX_PAUSE_S = 2.0, 5.0
COLD_ANSWERS = 20


class Chaos:
    """Injects random failures one after the other, each after the end of the one before."""

    def __init__(
        self, layout: Layout, fleet: Fleet, random: Random, documents: dict[str, object]
    ) -> None:
        self._layout = layout
        self._fleet = fleet
        self._random = random
        self._platform = HistoryWriter(layout.history_file("platform"), "platform")
        self._documents = documents
        self.counts: dict[str, int] = {}
        self.published: dict[str, list[int]] = {}
        for number, (key, document) in enumerate(documents.items()):
            self._record_publication(key, number + 1, document)

    async def run(self, session: ClientSession, duration_s: float) -> None:
        """Inject failures until ``duration_s`` is over."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        choices = (
            self._kill,
            self._freeze,
            self._stop,
            self._platform_down,
            self._move_data_centre,
            self._move_upstream,
            self._turn_cold,
            self._straggle,
        )
        while loop.time() < end_s:
            await asyncio.sleep(self._random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            chosen = self._random.choice(choices)
            name = chosen.__name__.strip("_")
            self.counts[name] = self.counts.get(name, 0) + 1
            await chosen(session)

    async def _kill(self, session: ClientSession) -> None:
        name = self._random.choice(self._layout.instances)
        await self._fleet.kill(name)
        await asyncio.sleep(self._random.uniform(0.0, 3.0))
        await self._fleet.start_instance(name)

    async def _freeze(self, session: ClientSession) -> None:
        name = self._random.choice(self._layout.instances)
        await self._fleet.freeze(name, self._random.uniform(1.0, 6.0))

    async def _stop(self, session: ClientSession) -> None:
        name = self._random.choice(self._layout.instances)
        await self._fleet.stop(name)
        await self._fleet.start_instance(name)

    async def _platform_down(self, session: ClientSession) -> None:
        self._fleet.history.write("platform_down")
        await self._put(session, f"http://{self._layout.platform}/faults", {"down": True})
        await asyncio.sleep(self._random.uniform(1.0, 8.0))
        await self._put(session, f"http://{self._layout.platform}/faults", {"down": False})
        self._fleet.history.write("platform_up")

    async def _move_data_centre(self, session: ClientSession) -> None:
        name = self._random.choice(DATA_CENTRES)
        await self._publish_state(session, name, "out")
        await asyncio.sleep(self._random.uniform(6.0, 9.0))
        await self._publish_state(session, name, "in")

    async def _move_upstream(self, session: ClientSession) -> None:
        data_centre = self._random.choice(DATA_CENTRES)
        leaving = self._random.choice(self._layout.upstream_ids(data_centre))
        key = f"geraniumlead/upstreams/{data_centre}"
        serving = to_builtins(self._documents[key])
        entries = [
            entry | {"state": "leaving" if entry["upstream_id"] == leaving else "serving"}
            for entry in serving["upstreams"]
        ]
        await self._publish(session, key, serving | {"upstreams": entries})
        await asyncio.sleep(self._random.uniform(6.0, 9.0))
        await self._publish(session, key, serving)

    async def _turn_cold(self, session: ClientSession) -> None:
        data_centre = self._random.choice(DATA_CENTRES)
        name = self._random.choice(self._layout.upstream_ids(data_centre))
        url = f"http://{self._layout.control_address_of(data_centre)}/faults"
        await self._put(session, url, {name: {"cold_answers": COLD_ANSWERS}})

    async def _straggle(self, session: ClientSession) -> None:
        data_centre = self._random.choice(DATA_CENTRES)
        name = self._random.choice(self._layout.upstream_ids(data_centre))
        url = f"http://{self._layout.control_address_of(data_centre)}/faults"
        await self._put(session, url, {name: {"slowdown": 40.0}})
        await asyncio.sleep(3.0)
        await self._put(session, url, {name: {"slowdown": 1.0}})

    async def _publish_state(self, session: ClientSession, name: str, state: str) -> None:
        document = {"name": name, "region": name, "state": state}
        await self._publish(session, f"geraniumlead/data-centres/{name}", document)

    async def _publish(self, session: ClientSession, key: str, document: dict) -> None:
        url = f"http://{self._layout.platform}/publish"
        found = await self._put(session, url, {key: document})
        self._record_publication(key, found["revision"], document)

    def _record_publication(self, key: str, revision: int, document: object) -> None:
        self.published.setdefault(key, []).append(revision)
        self._platform.write("published", key=key, revision=revision, value=document)

    async def _put(self, session: ClientSession, url: str, body: dict) -> dict:
        async with session.put(url, data=encode(body)) as response:
            return await response.json()
