"""Define a call that is under way."""

import asyncio
from dataclasses import dataclass

from geraniumlead.actions import CallUpstream


@dataclass(slots=True)
class RunningCall:
    """Hold the task of a call, the timer that looks after it, and when it began."""

    action: CallUpstream
    task: asyncio.Task
    started_s: float
    timer: asyncio.TimerHandle
