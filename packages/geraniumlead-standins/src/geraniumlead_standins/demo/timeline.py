import asyncio
import time
from functools import partial

from aiohttp import ClientSession
from msgspec.json import encode

from geraniumlead.documents import DataCentreDocument, DocumentKind, document_key
from geraniumlead_standins.demo.demo_plan import DemoPlan
from geraniumlead_standins.demo.process_manager import ProcessManager
from geraniumlead_standins.deployments import AddressPlan

STRAGGLER_SLOWDOWN = 25.0

# The time of each step, as a share of the duration after the start phase.
STRAGGLER_FROM = 0.15
STRAGGLER_UNTIL = 0.35
KILL_AT = 0.3
OUT_AT = 0.45
BACK_AT = 0.75


class Timeline:
    """A schedule of changes and faults for a running deployment.

    It slows an upstream down, takes a data centre out of service and back, and kills a process
    if the plan says so. ``moments_ns`` records the time of each step, on the clock of the
    histories.
    """

    def __init__(self, plan: DemoPlan, addresses: AddressPlan, processes: ProcessManager) -> None:
        self._plan = plan
        self._addresses = addresses
        self._processes = processes
        self.moments_ns: dict[str, int] = {}

    async def run(self) -> None:
        """Run each step at its time; record steps that a killed process makes impossible."""
        plan = self._plan
        scheduled_steps = [
            (STRAGGLER_FROM, "straggler", partial(self._set_straggler, STRAGGLER_SLOWDOWN)),
            (STRAGGLER_UNTIL, "straggler_over", partial(self._set_straggler, 1.0)),
            (OUT_AT, "out", partial(self._set_data_centre_state, "out")),
            (BACK_AT, "back", partial(self._set_data_centre_state, "in")),
        ]
        if plan.kill is not None:
            scheduled_steps.append((KILL_AT, f"kill_{plan.kill}", self._kill))
        started_s = time.monotonic()
        async with ClientSession() as self._session:
            for due_share, name, step in sorted(
                scheduled_steps, key=lambda scheduled: scheduled[0]
            ):
                due_s = started_s + plan.start_s + due_share * plan.duration_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                try:
                    await step()
                    self.moments_ns[name] = time.monotonic_ns()
                except OSError:
                    # This run has killed the process that would have carried out the step.
                    self.moments_ns[f"{name}_impossible"] = time.monotonic_ns()

    async def _set_straggler(self, slowdown: float) -> None:
        deployment = self._plan.deployment
        data_centre = deployment.data_centres[0]
        straggler = deployment.upstream_ids(data_centre, deployment.services[0], 0)[0]
        await self._put(
            self._addresses.controls[data_centre], "faults", {straggler: {"slowdown": slowdown}}
        )

    async def _set_data_centre_state(self, state: str) -> None:
        name = self._plan.moved_data_centre
        document = DataCentreDocument(name=name, region=name, state=state)
        key = document_key(DocumentKind.DATA_CENTRE, name)
        await self._put(self._addresses.platform, "publish", {key: document})

    async def _kill(self) -> None:
        deployment = self._plan.deployment
        first = deployment.data_centres[0]
        process_name = {
            "instance": deployment.instance_ids(first)[0],
            "upstreams": f"upstreams-{first}",
            "platform": "platform",
        }[self._plan.kill]
        self._processes.kill(process_name)

    async def _put(self, address: str, path: str, body: dict) -> None:
        async with self._session.put(f"http://{address}/{path}", data=encode(body)) as response:
            response.raise_for_status()
