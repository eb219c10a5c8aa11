"""Run a tool that starts processes so that none is left, also when it is told to stop."""

import asyncio
import signal
from collections.abc import Coroutine


def run_to_end(work: Coroutine):
    """Run a coroutine; SIGTERM cancels it, so that its ``finally`` ends what it started."""

    async def run():
        task = asyncio.ensure_future(work)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    return asyncio.run(run())
