"""Collect every measurement of the capacity page into one record."""

import platform
from collections.abc import Callable
from pathlib import Path

from geraniumlead_standins.capacity.batch_spread import measure_spread
from geraniumlead_standins.capacity.decision_cpu import (
    measure_local_query,
    measure_owner,
    measure_refused,
    measure_remote_query,
)
from geraniumlead_standins.capacity.fan_out_cpu import measure_fan_out
from geraniumlead_standins.capacity.fits import build_fit_record
from geraniumlead_standins.capacity.idle_instances import measure_idle
from geraniumlead_standins.capacity.message_cpu import (
    measure_bytes,
    measure_coding,
    measure_transport,
)
from geraniumlead_standins.capacity.ownership_moves import measure_moves
from geraniumlead_standins.capacity.state_memory import measure_state_memory
from geraniumlead_standins.capacity.tail import measure_tail, needed_quantile

FIRST_PORT = 28_000
IDLE_FIRST_PORT = 30_000
FAN_OUTS = ((20, 1_600), (50, 800), (100, 400), (200, 240))


def measure_all(folder: Path, report_progress: Callable[[str], None]) -> dict:
    """Run every measurement; ``report_progress`` is called with the name of each one."""
    return measure_processes(measure_lines({}, report_progress), folder, report_progress)


def measure_lines(record: dict, report_progress: Callable[[str], None]) -> dict:
    """Run the measurements that need no other process; return the record with their results."""
    report_progress("decisions")
    slopes = record.get("slopes", {}) | {
        "local_query": build_fit_record("us", "shard", measure_local_query()),
        "remote_query": build_fit_record("us", "shard", measure_remote_query()),
        "owner_batch": build_fit_record("us", "subquery", measure_owner()),
    }
    refused_us = round(measure_refused(), 2)
    report_progress("messages")
    subqueries, results = measure_coding()
    slopes["coding_subquery"] = build_fit_record("us", "subquery", subqueries)
    slopes["coding_result"] = build_fit_record("us", "result", results)
    slopes["batch_bytes"] = build_fit_record("bytes", "subquery", measure_bytes())
    slopes["message"] = build_fit_record("us", "byte", measure_transport())
    report_progress("memory")
    for name, points in measure_state_memory().items():
        slopes[name] = build_fit_record("bytes", name.replace("open_shard", "shard"), points)
    report_progress("owners, batches and the tail")
    return record | {
        "python": platform.python_version(),
        "refused_us": refused_us,
        "ownership_moves": measure_moves(),
        "batch_spread": measure_spread(),
        "tail": measure_tail(),
        "needed_quantile": {
            str(shards): round(needed_quantile(shards), 8) for shards in (20, 200, 1_200)
        },
        "slopes": slopes,
    }


def measure_processes(record: dict, folder: Path, report_progress: Callable[[str], None]) -> dict:
    """Run the measurements with real processes; return the record with their results."""
    report_progress("idle instances")
    idle = measure_idle(folder / "idle", IDLE_FIRST_PORT)
    report_progress("fan-out beside the bare one")
    fan_out = _measure_fan_outs(folder)
    points = [(float(row["shards"]), row["instance_us"]) for row in fan_out]
    bare_points = [(float(row["shards"]), row["bare_us"]) for row in fan_out]
    slopes = record["slopes"] | {
        "instance_query": build_fit_record("us", "shard", points),
        "upstream_call": build_fit_record("us", "call", bare_points),
    }
    return record | {"idle": idle, "fan_out": fan_out, "slopes": slopes}


def _measure_fan_outs(folder: Path) -> list[dict]:
    return [
        measure_fan_out(folder / f"fan-out-{shards}", FIRST_PORT + 400 * position, shards, queries)
        for position, (shards, queries) in enumerate(FAN_OUTS)
    ]
