import asyncio
from itertools import count
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec.json import decode, encode

from geraniumlead_standins.history import HistoryWriter
from geraniumlead_standins.soak.layout import CREDENTIAL, SERVICE, Layout

DEADLINE_MS = 1_500.0
TIMEOUT_S = 3.0
POLL_INTERVAL_S = 1.0
MAX_ATTEMPTS = 4
HEADERS = {"Authorization": f"Bearer {CREDENTIAL}", "Content-Type": "application/json"}


class SoakCallers:
    """Callers that send lookups and bookings to real instances and record the outcomes.

    They choose instances as a load balancer does that polls readiness once a second.
    """

    def __init__(self, layout: Layout, random: Random) -> None:
        self._layout = layout
        self._random = random
        self._history = HistoryWriter(layout.history_file("callers"), "callers")
        self._numbers = count()
        self._ready: list[str] = list(layout.instances)
        self._tasks: set[asyncio.Task] = set()

    async def run(self, session: ClientSession, duration_s: float, rate_per_s: float) -> None:
        """Start operations at random intervals with a mean rate, and wait for all of them."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        poll = asyncio.create_task(self._poll(session))
        while loop.time() < end_s:
            task = asyncio.create_task(self._run_operation(session))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.expovariate(rate_per_s))
        await asyncio.gather(*self._tasks)
        poll.cancel()
        self._history.write("ended_run")

    async def _poll(self, session: ClientSession) -> None:
        while True:
            found = await asyncio.gather(
                *(self._is_ready(session, name) for name in self._layout.instances)
            )
            names = [name for name, ready in zip(self._layout.instances, found, strict=True)]
            self._ready = [name for name, ready in zip(names, found, strict=True) if ready]
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _is_ready(self, session: ClientSession, name: str) -> bool:
        url = f"http://{self._layout.address_of(name, 0)}/ready"
        try:
            async with session.get(url, timeout=ClientTimeout(total=POLL_INTERVAL_S)) as response:
                return response.status == 200
        except (ClientError, TimeoutError, OSError):
            return False

    def _choose(self) -> str:
        return self._random.choice(self._ready or self._layout.instances)

    async def _run_operation(self, session: ClientSession) -> None:
        number = next(self._numbers)
        kind = self._random.choice(("lookup", "lookup", "keyed", "booking"))
        body = {
            "class": "booking" if kind == "booking" else "lookup",
            "query": {"token": f"{kind}-{number}"},
        }
        if kind != "lookup":
            body["key"] = f"member-{self._random.randrange(50)}"
        if kind == "booking":
            ticket = await self._request_ticket(session)
            if ticket is None:
                return
            body["ticket"] = ticket
        for attempt in range(1, MAX_ATTEMPTS + 1):
            outcome = await self._send(session, body, attempt)
            if outcome in ("whole", "partial", "failed", "rejected"):
                return
            await asyncio.sleep(self._random.uniform(0.01, 0.8))

    async def _request_ticket(self, session: ClientSession) -> str | None:
        url = f"http://{self._layout.address_of(self._choose(), 0)}/v1/tickets"
        try:
            async with session.post(
                url,
                data=encode({"class": "booking"}),
                headers=HEADERS,
                timeout=ClientTimeout(total=TIMEOUT_S),
            ) as response:
                return decode(await response.read()).get("ticket")
        except (ClientError, TimeoutError, OSError):
            return None

    async def _send(self, session: ClientSession, body: dict, attempt: int) -> str:
        request_id, name = f"q{next(self._numbers)}", self._choose()
        self._history.write(
            "sent",
            request_id=request_id,
            token=body["query"]["token"],
            instance=name,
            service=SERVICE,
            class_name=body["class"],
            idempotent=body["class"] != "booking",
            one_shard="key" in body,
            attempt=attempt,
            deadline_ms=DEADLINE_MS,
        )
        fields = await self._exchange(session, body, request_id, name)
        self._history.write("answered", request_id=request_id, **fields)
        return fields["outcome"]

    async def _exchange(
        self, session: ClientSession, body: dict, request_id: str, name: str
    ) -> dict:
        url = f"http://{self._layout.address_of(name, 0)}/v1/queries"
        try:
            async with session.post(
                url,
                data=encode(body),
                headers=HEADERS | {"X-Request-Id": request_id},
                timeout=ClientTimeout(total=TIMEOUT_S),
            ) as response:
                return read_answer_fields(response.status, decode(await response.read()))
        except (ClientError, TimeoutError, OSError) as error:
            return {"outcome": "lost", "reason": type(error).__name__}


def read_answer_fields(status: int, found: dict) -> dict:
    """Return the fields of an ``answered`` event from a response."""
    if "outcome" not in found:
        return {"outcome": "rejected", "reason": f"{status} {found.get('title', '')}"}
    coverage = found.get("coverage", {})
    return {
        "outcome": found["outcome"],
        "reason": found.get("reason") or found.get("detail") or "",
        "index_version": found.get("index_version", 0),
        "asked": coverage.get("asked", 0),
        "answered": coverage.get("answered", 0),
        "missing": [item["shard"] for item in coverage.get("missing", [])],
        "records": [
            [record["shard"], record["version"], record["token"]]
            for record in found.get("records", [])
        ],
    }
