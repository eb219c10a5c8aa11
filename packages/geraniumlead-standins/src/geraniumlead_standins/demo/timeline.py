"""Disturb a running deployment on a schedule."""

import asyncio
import time
from functools import partial

from aiohttp import ClientSession
from msgspec.json import encode

from geraniumlead.documents import DataCentreDocument, DocumentKind, document_key
from geraniumlead_standins.demo.demo_plan import DemoPlan
from geraniumlead_standins.demo.process_group import ProcessGroup
from geraniumlead_standins.deployments import AddressPlan

STRAGGLER_SLOWDOWN = 25.0

# When each thing is done, as a share of the time for which callers send.
STRAGGLER_FROM = 0.15
STRAGGLER_UNTIL = 0.35
KILL_AT = 0.3
OUT_AT = 0.45
BACK_AT = 0.75


class Timeline:
    """Make a straggler, take a data centre out and back, kill a process if asked to.

    ``moments_ns`` notes when each thing was done, on the clock of the histories.
    """

    def __init__(self, plan: DemoPlan, addresses: AddressPlan, processes: ProcessGroup) -> None:
        self._plan = plan
        self._addresses = addresses
        self._processes = processes
        self.moments_ns: dict[str, int] = {}

    async def run(self) -> None:
        """Do everything at its time; what a killed process makes impossible is noted."""
        plan = self._plan
        moments = [
            (STRAGGLER_FROM, "straggler", partial(self._set_straggler, STRAGGLER_SLOWDOWN)),
            (STRAGGLER_UNTIL, "straggler_over", partial(self._set_straggler, 1.0)),
            (OUT_AT, "out", partial(self._move_data_centre, "out")),
            (BACK_AT, "back", partial(self._move_data_centre, "in")),
        ]
        if plan.kill is not None:
            moments.append((KILL_AT, f"kill_{plan.kill}", self._kill))
        started_s = time.monotonic()
        async with ClientSession() as self._session:
            for due_share, name, step in sorted(moments, key=lambda moment: moment[0]):
                due_s = started_s + plan.start_s + due_share * plan.duration_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                try:
                    await step()
                    self.moments_ns[name] = time.monotonic_ns()
                except OSError:
                    # The process that would do it was killed by this run.
                    self.moments_ns[f"{name}_impossible"] = time.monotonic_ns()

    async def _set_straggler(self, slowdown: float) -> None:
        deployment = self._plan.deployment
        data_centre = deployment.data_centres[0]
        straggler = deployment.upstream_ids(data_centre, deployment.services[0], 0)[0]
        await self._put(
            self._addresses.controls[data_centre], "faults", {straggler: {"slowdown": slowdown}}
        )

    async def _move_data_centre(self, state: str) -> None:
        name = self._plan.moved_data_centre
        document = DataCentreDocument(name=name, region=name, state=state)
        key = document_key(DocumentKind.DATA_CENTRE, name)
        await self._put(self._addresses.platform, "publish", {key: document})

    async def _kill(self) -> None:
        deployment = self._plan.deployment
        first = deployment.data_centres[0]
        victim = {
            "instance": deployment.instance_ids(first)[0],
            "upstreams": f"upstreams-{first}",
            "platform": "platform",
        }[self._plan.kill]
        self._processes.kill(victim)

    async def _put(self, address: str, path: str, body: dict) -> None:
        async with self._session.put(f"http://{address}/{path}", data=encode(body)) as response:
            response.raise_for_status()
