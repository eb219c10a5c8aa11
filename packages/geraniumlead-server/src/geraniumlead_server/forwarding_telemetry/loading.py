"""Load the metrics libraries while requests are served."""

import asyncio
from importlib import import_module

MODULES = (
    "prometheus_client",
    "opentelemetry.metrics",
    "opentelemetry.sdk.resources",
    "opentelemetry.sdk.metrics",
    "opentelemetry.exporter.prometheus",
)
"""Modules in the order of their dependencies, so that each step is short."""

STEP_PAUSE_S = 0.2


async def load_metrics_libraries() -> None:
    """Import the libraries one by one, with time for requests in between.

    Failure: all instances start after a power failure, and some seconds later all load these
    libraries at once. Loading them in one step blocks each event loop for 0.2 s, longer than some
    latency goals, and peers consider the instance dead. The longest step here takes 0.04 s.
    """
    for name in MODULES:
        import_module(name)
        await asyncio.sleep(STEP_PAUSE_S)
