"""Measure the CPU time and memory of idle instances, by their number."""

import time
from pathlib import Path

import psutil

from geraniumlead_standins.capacity.fan_out_cluster import FanOutCluster
from geraniumlead_standins.capacity.processes import ProcessGroup, wait_until_ready

INSTANCE_COUNTS = (2, 4, 8, 16)
SETTLE_S = 3.0
MEASURED_S = 8.0
SHARDS = 20
BYTES_PER_MIB = 1024 * 1024


def measure_idle(folder: Path, first_port: int) -> list[dict]:
    """Return CPU share, resident memory and start time of idle instances, one row per number."""
    return [
        _measure_one(folder / str(count), first_port + 300 * position, count)
        for position, count in enumerate(INSTANCE_COUNTS)
    ]


def _measure_one(folder: Path, first_port: int, count: int) -> dict:
    cluster = FanOutCluster(folder, first_port, SHARDS, instances=count, upstream_processes=1)
    cluster.write_files()
    with ProcessGroup(folder) as group:
        group.start_module(
            "platform",
            "geraniumlead_standins.platform",
            "--listen",
            cluster.platform_address,
            "--documents",
            str(folder / "documents.json"),
        )
        started = time.monotonic()
        processes = [
            group.start_module(
                f"d{number}",
                "geraniumlead_server.main",
                "--settings",
                str(folder / f"instance-{number}.json"),
            )
            for number in range(count)
        ]
        for number in range(count):
            wait_until_ready(f"http://{cluster.callers_address(number)}/ready")
        ready_s = time.monotonic() - started
        time.sleep(SETTLE_S)
        cpu_share, resident = _measure_processes([process.pid for process in processes])
    return {
        "instances": count,
        "cpu_share": round(cpu_share, 5),
        "resident_mib": round(resident, 1),
        "all_ready_s": round(ready_s, 2),
    }


def _measure_processes(process_ids: list[int]) -> tuple[float, float]:
    observed = [psutil.Process(process_id) for process_id in process_ids]
    before = [process.cpu_times() for process in observed]
    time.sleep(MEASURED_S)
    spent_s = 0.0
    for process, old in zip(observed, before, strict=True):
        new = process.cpu_times()
        spent_s += new.user + new.system - old.user - old.system
    resident = sum(process.memory_info().rss for process in observed) / len(observed)
    return spent_s / MEASURED_S / len(observed), resident / BYTES_PER_MIB
