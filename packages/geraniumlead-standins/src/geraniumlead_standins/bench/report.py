"""Write result rows as JSON and as Markdown tables."""

from pathlib import Path

from msgspec.json import decode, encode, format

from geraniumlead_standins.bench.result_row import ResultRow

JSON_NAME = "bench.json"
TABLE_NAME = "bench.md"

HEADING = """# Decisions under load and faults, measured

Written by `make bench` from the rows in `bench.json`: virtual time, fixed seeds, the same
figures on every run. Latencies are of answered requests. Extra load is the subqueries beyond
the first of each shard, over the first ones.
"""
COLUMNS = (
    "seed",
    "variant",
    "class",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "coverage",
    "goodput/s",
    "refused",
    "extra load",
    "fallen over",
    "more",
)


def update_report(folder: Path, measured: list[ResultRow], order: list[str]) -> None:
    """Replace the rows of the measured patterns and keep those of the others."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / JSON_NAME
    kept = decode(path.read_bytes(), type=list[ResultRow]) if path.exists() else []
    measured_patterns = {row.pattern for row in measured}
    rows = [
        row for row in kept if row.pattern not in measured_patterns and row.pattern in order
    ] + measured
    rows.sort(key=lambda row: order.index(row.pattern))
    path.write_bytes(format(encode(rows), indent=1) + b"\n")
    (folder / TABLE_NAME).write_text(render_table(rows))


def render_table(rows: list[ResultRow]) -> str:
    """Return a Markdown page with one table per pattern."""
    parts = [HEADING]
    for pattern in dict.fromkeys(row.pattern for row in rows):
        parts.append(f"\n## {pattern}\n\n| " + " | ".join(COLUMNS) + " |")
        parts.append("|" + " --- |" * len(COLUMNS))
        parts += [_render_row(row) for row in rows if row.pattern == pattern]
    return "\n".join(parts) + "\n"


def _render_row(row: ResultRow) -> str:
    reasons = ", ".join(f"{name} {count}" for name, count in row.refused_by_reason.items())
    cells = (
        str(row.seed),
        row.variant,
        row.class_name,
        _render(row.p50_ms, 1),
        _render(row.p99_ms, 1),
        _render(row.p999_ms, 1),
        _render(row.coverage, 4),
        _render(row.goodput_per_s, 1),
        f"{row.refused} ({reasons})" if reasons else str(row.refused),
        f"{row.extra_load_share:.2%}",
        str(row.fallen),
        ", ".join(f"{name} {value:.4g}" for name, value in row.more.items()),
    )
    return "| " + " | ".join(cells) + " |"


def _render(value: float | None, digits: int) -> str:
    return "-" if value is None else f"{value:.{digits}f}"
