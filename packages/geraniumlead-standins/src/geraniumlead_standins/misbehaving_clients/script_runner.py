"""Play the scripts of clients over sockets."""

import asyncio
import random
from collections import Counter

from geraniumlead_standins.misbehaving_clients.behaviours import build_script
from geraniumlead_standins.misbehaving_clients.client_script import ClientScript, Ending

RECONNECT_PAUSE_S = 0.2
CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 10.0
RECEIVE_LIMIT_BYTES = 4_096
START_SPREAD_S = 0.5


class ScriptRunner:
    """Keeps clients connected that all play one behaviour, and counts what they are answered."""

    def __init__(self, behaviour: str, addresses: list[str], seed: int) -> None:
        self._behaviour = behaviour
        self._addresses = [address.split(":") for address in addresses]
        self._random = random.Random(seed)
        self.outcomes: Counter[str] = Counter()

    async def run(self, clients: int, seconds: float) -> None:
        """Play for some seconds, then close all connections."""
        tasks = [asyncio.create_task(self._play_client(number)) for number in range(clients)]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _play_client(self, number: int) -> None:
        host, port = self._addresses[number % len(self._addresses)]
        script = build_script(self._behaviour, number // len(self._addresses))
        await asyncio.sleep(self._random.random() * START_SPREAD_S)
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        host, int(port), limit=RECEIVE_LIMIT_BYTES
                    )
            except (OSError, TimeoutError):
                self.outcomes["not connected"] += 1
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            try:
                self.outcomes[await self._play(script, reader, writer)] += 1
            except (OSError, TimeoutError):
                self.outcomes["closed"] += 1
            finally:
                writer.transport.abort()
            if script.ending is not Ending.ANSWER:
                await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _play(
        self, script: ClientScript, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> str:
        """Play one connection; return the status of the first answer, or what came instead."""
        if script.ending not in (Ending.ANSWER, Ending.STAY):
            await _send(script, writer)
            if script.ending is Ending.IGNORE:
                await writer.wait_closed()
            return script.ending.value
        sending = asyncio.create_task(_send(script, writer))
        try:
            if script.ending is Ending.ANSWER:
                return await self._read_status(reader)
            while await reader.read(RECEIVE_LIMIT_BYTES):
                pass
            return "closed"
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    async def _read_status(self, reader: asyncio.StreamReader) -> str:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            line = await reader.readline()
        words = line.split()
        return words[1].decode() if len(words) > 1 else "closed"


async def _send(script: ClientScript, writer: asyncio.StreamWriter) -> None:
    writer.write(script.start)
    await writer.drain()
    sent = 0
    while script.pieces is None or sent < script.pieces:
        writer.write(script.piece)
        await writer.drain()
        sent += 1
        await asyncio.sleep(script.pause_s)
    if script.end:
        writer.write(script.end)
        await writer.drain()
