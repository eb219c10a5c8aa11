import asyncio
import time
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import DecodeError
from msgspec.json import decode, encode

from geraniumlead_standins.load.answer_check import record_answer
from geraniumlead_standins.load.balancer import Balancer
from geraniumlead_standins.load.load_plan import ClassLoad
from geraniumlead_standins.load.sent_request import SentRequest

GRACE_S = 1.0
"""How long after its deadline an answer may arrive before it counts as late."""

MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.05
REPEAT_DELAY_S = 0.004


class Caller:
    """A caller that sends the requests of one class and records their outcomes.

    A request whose connection breaks is retried at another instance.
    """

    def __init__(
        self, session: ClientSession, balancer: Balancer, load: ClassLoad, random: Random
    ) -> None:
        self._session = session
        self._balancer = balancer
        self._load = load
        self._random = random
        self._headers = {
            "Authorization": f"Bearer {load.credential}",
            "Content-Type": "application/json",
        }
        self.sent: list[SentRequest] = []

    async def run(self, duration_s: float) -> None:
        """Send for ``duration_s``, then wait for the outstanding answers."""
        tasks = []
        loop = asyncio.get_running_loop()
        started_s = due_s = loop.time()
        while due_s - started_s < duration_s:
            tasks.append(asyncio.create_task(self._send_one()))
            due_s += self._random.expovariate(self._load.rate_per_s)
            await asyncio.sleep(max(0.0, due_s - loop.time()))
        await asyncio.gather(*tasks)

    async def _send_one(self) -> None:
        load = self._load
        sent = SentRequest(
            name=f"{load.class_name}-{len(self.sent)}",
            class_name=load.class_name,
            sent_ns=time.monotonic_ns(),
            is_booking=load.ticketed,
        )
        self.sent.append(sent)
        timeout_s = load.deadline_ms / 1000.0 + GRACE_S
        try:
            async with asyncio.timeout(timeout_s):
                if load.ticketed:
                    sent.outcome = await self._send_ticketed(sent)
                else:
                    sent.outcome = await self._send_idempotent(sent)
        except TimeoutError:
            sent.is_late = True
        sent.elapsed_ms = (time.monotonic_ns() - sent.sent_ns) / 1e6

    async def _send_idempotent(self, sent: SentRequest) -> str:
        body = {"class": self._load.class_name, "query": {"text": self._choose_query_text(sent)}}
        address = self._balancer.choose()
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._post(sent, address, body)
            if outcome is not None:
                return outcome
            await asyncio.sleep(RETRY_PAUSE_S)
            address = self._balancer.choose(address)
        return "unanswered"

    def _choose_query_text(self, sent: SentRequest) -> str:
        distinct_queries = self._load.distinct_queries
        return (
            f"member {self._random.randrange(distinct_queries)}" if distinct_queries else sent.name
        )

    async def _send_ticketed(self, sent: SentRequest) -> str:
        issued = await self._fetch_ticket()
        if issued is None:
            # Without a ticket no query was sent, so nothing can have run.
            sent.outcomes.append("not_run")
            return "not_run"
        ticket, address = issued
        query = {"token": sent.name}
        body = {
            "class": self._load.class_name,
            "query": query,
            "key": sent.name,
            "ticket": ticket,
        }
        repeat = None
        if self._random.random() < self._load.repeat_share:
            repeat = asyncio.create_task(self._repeat(sent, self._balancer.choose(address), body))
        outcome = await self._post_until_answered(sent, address, body)
        if repeat is not None:
            await repeat
        return outcome

    async def _repeat(self, sent: SentRequest, address: str, body: dict) -> None:
        await asyncio.sleep(REPEAT_DELAY_S)
        await self._post_until_answered(sent, address, body | {"attempt": 2})

    async def _post_until_answered(self, sent: SentRequest, address: str, body: dict) -> str:
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._post(sent, address, body)
            if outcome is not None:
                return outcome
            await asyncio.sleep(RETRY_PAUSE_S)
            address = self._balancer.choose(address)
        return "unanswered"

    async def _fetch_ticket(self) -> tuple[str, str] | None:
        address = self._balancer.choose()
        for _ in range(MAX_ATTEMPTS):
            try:
                async with self._session.post(
                    f"http://{address}/v1/tickets",
                    data=encode({"class": self._load.class_name}),
                    headers=self._headers,
                    timeout=ClientTimeout(total=GRACE_S),
                ) as response:
                    if response.status == 201:
                        return decode(await response.read())["ticket"], address
            except (ClientError, OSError, TimeoutError):
                pass
            await asyncio.sleep(RETRY_PAUSE_S)
            address = self._balancer.choose(address)
        return None

    async def _post(self, sent: SentRequest, address: str, body: dict) -> str | None:
        """Return the outcome, or None if there was no valid answer."""
        sent.attempts += 1
        headers = self._headers | {"X-Request-Id": sent.name}
        try:
            async with self._session.post(
                f"http://{address}/v1/queries", data=encode(body), headers=headers
            ) as response:
                answer = decode(await response.read())
        except (ClientError, OSError, DecodeError):
            return None
        record_answer(sent, answer)
        return sent.outcomes[-1]
