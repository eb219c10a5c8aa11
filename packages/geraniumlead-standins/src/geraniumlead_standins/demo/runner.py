import asyncio
import time
from dataclasses import asdict
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import Struct, convert
from msgspec.json import encode, format

from geraniumlead_standins.demo.class_loads import build_class_loads
from geraniumlead_standins.demo.demo_plan import DemoPlan
from geraniumlead_standins.demo.extra_load import measure_extra_load
from geraniumlead_standins.demo.process_manager import ProcessManager
from geraniumlead_standins.demo.table import render_table
from geraniumlead_standins.demo.timeline import Timeline
from geraniumlead_standins.demo.verdict import NANOSECONDS_PER_S, Verdict, evaluate_run, read_lines
from geraniumlead_standins.deployments import (
    AddressPlan,
    build_documents,
    build_instance_settings,
    build_upstream_plan,
)
from geraniumlead_standins.load.load_plan import LoadPlan
from geraniumlead_standins.load.sent_request import SentRequest
from geraniumlead_standins.load.summary import summarise

START_TIMEOUT_S = 60.0
LOAD_TIMEOUT_MARGIN_S = 45.0
CALLERS = "callers"
PLATFORM = "platform"


class DemoRunner:
    """One run of a demo.

    It starts a deployment, sends load, injects faults, stops the deployment and checks the run.
    """

    def __init__(self, plan: DemoPlan) -> None:
        self._plan = plan
        self._deployment = plan.deployment
        self._addresses = AddressPlan.from_base_port(plan.deployment, plan.base_port)
        self._processes = ProcessManager(plan.folder)
        self._timeline = Timeline(plan, self._addresses, self._processes)
        self._violations: list[str] = []

    async def run(self) -> Verdict:
        """Run the demo and stop all of its processes, even after an error."""
        try:
            await self._start()
            await self._load()
            await self._stop_gracefully()
        finally:
            await self._processes.stop_all()
        return self._evaluate()

    async def _start(self) -> None:
        started_s = time.monotonic()
        documents = self._write_json(
            "documents", build_documents(self._deployment, self._addresses)
        )
        await self._processes.start(
            PLATFORM,
            "geraniumlead_standins.platform",
            *("--listen", self._addresses.platform, "--documents", str(documents)),
        )
        for name in self._deployment.data_centres:
            plan = build_upstream_plan(
                self._deployment,
                self._addresses,
                name,
                self._plan.seed,
                str(self._history_path(name)),
            )
            path = self._write_json(f"upstreams-{name}", plan)
            await self._processes.start(
                f"upstreams-{name}", "geraniumlead_standins.upstream", "--plan", str(path)
            )
        settings = build_instance_settings(self._deployment, self._addresses)
        for name, item in settings.items():
            path = self._write_json(name, item)
            await self._processes.start(name, "geraniumlead_server.main", "--settings", str(path))
        await self._wait_until_ready()
        print(f"{len(settings)} instances ready after {time.monotonic() - started_s:.1f} s")

    async def _wait_until_ready(self) -> None:
        addresses = [callers for callers, _, _ in self._addresses.instances.values()]
        async with asyncio.timeout(START_TIMEOUT_S), ClientSession() as session:
            for address in [*addresses, *self._addresses.controls.values()]:
                while not await _is_listening(session, address):
                    if ended := self._processes.find_unexpected_exits():
                        raise RuntimeError(f"ended while starting: {', '.join(ended)}")
                    await asyncio.sleep(0.1)

    async def _load(self) -> None:
        plan = LoadPlan(
            seed=self._plan.seed,
            addresses=[callers for callers, _, _ in self._addresses.instances.values()],
            duration_s=self._plan.start_s + self._plan.duration_s,
            classes=build_class_loads(
                self._deployment, self._plan.load_factor, self._plan.distinct_queries
            ),
            history=str(self._history_path(CALLERS)),
        )
        path = self._write_json("load", plan)
        callers = await self._processes.start(
            CALLERS, "geraniumlead_standins.load", "--plan", str(path)
        )
        timeline = asyncio.create_task(self._timeline.run())
        try:
            await asyncio.wait_for(callers.wait(), plan.duration_s + LOAD_TIMEOUT_MARGIN_S)
        except TimeoutError:
            self._violations.append("the callers did not finish in time")
        if callers.returncode:
            self._violations.append(f"the callers ended with {callers.returncode}")
        timeline.cancel()

    async def _stop_gracefully(self) -> None:
        ended = [name for name in self._processes.find_unexpected_exits() if name != CALLERS]
        self._violations += [f"{name} exited unexpectedly" for name in ended]
        instances = list(self._addresses.instances)
        for name in await self._processes.stop(instances):
            self._violations.append(f"{name} did not stop after SIGTERM")
        for name in instances:
            if name not in self._processes.killed and self._processes.returncode(name) != 0:
                code = self._processes.returncode(name)
                self._violations.append(f"{name} ended with {code} after a planned stop")

    def _evaluate(self) -> Verdict:
        requests = [
            convert(line, SentRequest)
            for line in read_lines(self._history_path(CALLERS))
            if line["event"] == "request"
        ]
        upstream_lines = [
            line
            for name in self._deployment.data_centres
            for line in read_lines(self._history_path(name))
        ]
        moments_ns = self._timeline.moments_ns
        verdict = evaluate_run(requests, upstream_lines, self._plan.moved_data_centre, moments_ns)
        verdict.violations += self._violations
        if not requests:
            verdict.violations.append("no request was sent")
        self._report(requests, upstream_lines, verdict)
        return verdict

    def _report(
        self, requests: list[SentRequest], upstream_lines: list[dict], verdict: Verdict
    ) -> None:
        extra_load = measure_extra_load(upstream_lines)
        first_ns = min((sent.sent_ns for sent in requests), default=0)
        started_ns = first_ns + self._plan.start_s * NANOSECONDS_PER_S
        at_start = summarise([sent for sent in requests if sent.sent_ns < started_ns])
        summaries = summarise([sent for sent in requests if sent.sent_ns >= started_ns])
        print(f"the first {self._plan.start_s:.0f} s, while no upstream was proven warm:")
        print(render_table(at_start, extra_load))
        print(f"the {self._plan.duration_s:.0f} s after:")
        print(render_table(summaries, extra_load))
        report = {
            "deployment": self._deployment.name,
            "seed": self._plan.seed,
            "kill": self._plan.kill,
            "at_start": [asdict(summary) for summary in at_start],
            "classes": [asdict(summary) for summary in summaries],
            "extra_load": extra_load,
            "verdict": asdict(verdict),
            "moments_ns": self._timeline.moments_ns,
        }
        path = self._plan.folder / "report.json"
        path.write_bytes(format(encode(report), indent=2))
        print(f"bookings run: {verdict.bookings_run}, doubled: {verdict.doubled_bookings}")
        print(f"report: {path}")

    def _history_path(self, name: str) -> Path:
        return self._plan.folder / f"{name}.history.jsonl"

    def _write_json(self, name: str, value: Struct | dict) -> Path:
        path = self._plan.folder / f"{name}.json"
        path.write_bytes(format(encode(value), indent=2))
        return path


async def _is_listening(session: ClientSession, address: str) -> bool:
    # The control server of a stand-in has no such path; a 404 shows that it is listening.
    try:
        async with session.get(
            f"http://{address}/ready", timeout=ClientTimeout(total=1.0)
        ) as response:
            return response.status in (200, 404)
    except (ClientError, OSError, TimeoutError):
        return False
