"""Measure the CPU time of a query at an entry instance and at the bare fan-out."""

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import psutil
from aiohttp import ClientSession
from msgspec.json import encode

from geraniumlead_standins.capacity.fan_out_cluster import CREDENTIAL, FanOutCluster
from geraniumlead_standins.capacity.processes import ProcessGroup, wait_until_ready

WARM_UP_QUERIES = 100
CONCURRENT_CALLERS = 4

HEADERS = {"Authorization": f"Bearer {CREDENTIAL}", "Content-Type": "application/json"}
BODY = encode({"class": "lookup", "query": {"text": "member"}})


def measure_fan_out(folder: Path, first_port: int, shards: int, queries: int) -> dict:
    """Return CPU microseconds per query at the instance and at the bare fan-out."""
    cluster = FanOutCluster(folder, first_port, shards)
    cluster.write_files()
    row: dict = {"shards": shards, "queries": queries}
    with ProcessGroup(folder) as group:
        for number in range(cluster.upstream_processes):
            plan = str(folder / f"upstreams-{number}.json")
            group.start_module(f"u{number}", "geraniumlead_standins.upstream", "--plan", plan)
        time.sleep(1.0 + shards / 200)
        with _bare(group, cluster) as (process_id, address):
            row["bare_us"] = _measure(process_id, address, queries)
        with _instance(group, cluster) as (process_id, address):
            row["instance_us"] = _measure(process_id, address, queries)
    row["ratio"] = round(row["instance_us"] / row["bare_us"], 3)
    return row


@contextmanager
def _bare(group: ProcessGroup, cluster: FanOutCluster) -> Iterator[tuple[int, str]]:
    address = cluster.callers_address(9)
    process = group.start_module(
        "bare",
        "geraniumlead_standins.capacity.bare_fan_out",
        "--listen",
        address,
        "--addresses",
        str(cluster.folder / "addresses.json"),
        "--connections",
        str(cluster.connections),
    )
    time.sleep(1.5)
    yield process.pid, address
    process.terminate()
    process.wait()


@contextmanager
def _instance(group: ProcessGroup, cluster: FanOutCluster) -> Iterator[tuple[int, str]]:
    documents = str(cluster.folder / "documents.json")
    group.start_module(
        "platform",
        "geraniumlead_standins.platform",
        "--listen",
        cluster.platform_address,
        "--documents",
        documents,
    )
    settings = str(cluster.folder / "instance-0.json")
    process = group.start_module("d0", "geraniumlead_server.main", "--settings", settings)
    address = cluster.callers_address(0)
    wait_until_ready(f"http://{address}/ready")
    yield process.pid, address


def _measure(process_id: int, address: str, queries: int) -> float:
    asyncio.run(_send(address, WARM_UP_QUERIES))
    process = psutil.Process(process_id)
    before = process.cpu_times()
    asyncio.run(_send(address, queries))
    after = process.cpu_times()
    spent_s = after.user + after.system - before.user - before.system
    return round(spent_s / queries * 1e6, 1)


async def _send(address: str, queries: int) -> None:
    async with ClientSession(headers=HEADERS) as session:

        async def run_caller(count: int) -> None:
            for _ in range(count):
                async with session.post(f"http://{address}/v1/queries", data=BODY) as response:
                    body = await response.read()
                    if response.status != 200:
                        raise RuntimeError(f"{response.status}: {body[:200]!r}")

        share = queries // CONCURRENT_CALLERS
        await asyncio.gather(*(run_caller(share) for _ in range(CONCURRENT_CALLERS)))
