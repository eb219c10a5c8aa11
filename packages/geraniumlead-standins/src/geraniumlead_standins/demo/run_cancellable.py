"""Run a coroutine that starts processes so that none is left behind after a SIGTERM."""

import asyncio
import signal
from collections.abc import Coroutine


def run_cancellable(coroutine: Coroutine):
    """Run a coroutine and cancel it on SIGTERM, so that its ``finally`` blocks run."""

    async def run():
        task = asyncio.ensure_future(coroutine)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    return asyncio.run(run())
