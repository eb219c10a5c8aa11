import asyncio
from dataclasses import dataclass

from geraniumlead.actions import CallUpstream


@dataclass(slots=True)
class RunningCall:
    """A call in progress: its task, the timer that checks it, and its start time."""

    action: CallUpstream
    task: asyncio.Task
    started_s: float
    timer: asyncio.TimerHandle
