import asyncio

from aiohttp import ClientError, ClientSession, ClientTimeout

from geraniumlead_standins.history import HistoryWriter
from geraniumlead_standins.soak.fleet import Fleet
from geraniumlead_standins.soak.layout import Layout

POLL_INTERVAL_S = 0.5


class StatusPoller:
    """Polls the status page of every instance and records the configuration in force.

    The page names one revision; a document counts as in force at its newest revision up to
    that one. ``published`` maps a key to its revisions, in order.
    """

    def __init__(self, layout: Layout, fleet: Fleet, published: dict[str, list[int]]) -> None:
        self._layout = layout
        self._fleet = fleet
        self._published = published
        self._histories = {
            name: HistoryWriter(layout.history_file(f"status-{name}"), name)
            for name in layout.instances
        }

    async def run(self, session: ClientSession) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.gather(*(self._poll_status(session, name) for name in self._histories))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll_status(self, session: ClientSession, name: str) -> None:
        incarnation = self._fleet.incarnation_of(name)
        url = f"http://{self._layout.address_of(name, 1)}/v1/status"
        try:
            async with session.get(url, timeout=ClientTimeout(total=2.0)) as response:
                revision = (await response.json(content_type=None))["revision"]
        except (ClientError, TimeoutError, OSError, KeyError):
            return
        if incarnation != self._fleet.incarnation_of(name) or not revision:
            return
        revisions = {
            key: max((found for found in known if found <= revision), default=0)
            for key, known in self._published.items()
        }
        self._histories[name].write("in_force", incarnation=incarnation, revisions=revisions)
