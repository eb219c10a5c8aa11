"""Render the outcomes of callers' requests as a table."""

from geraniumlead_standins.load.summary import ClassSummary

_COLUMNS = (
    ("class", "class_name"),
    ("sent", "sent"),
    ("whole", "whole"),
    ("partial", "partial"),
    ("refused", "refused"),
    ("failed", "failed"),
    ("unknown", "unknown"),
    ("p50 ms", "p50_ms"),
    ("p99 ms", "p99_ms"),
    ("coverage", "coverage"),
)


def render_table(summaries: list[ClassSummary], extra_load: dict[str, float]) -> str:
    """Return a table with one row for each class."""
    header = [title for title, _ in _COLUMNS] + ["extra load"]
    rows = [header]
    for summary in summaries:
        row = [_render(name, getattr(summary, name)) for _, name in _COLUMNS]
        rows.append([*row, f"{extra_load.get(summary.class_name, 0.0):.2%}"])
    widths = [max(len(row[column]) for row in rows) for column in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if column == 0 else cell.rjust(width)
            for column, (cell, width) in enumerate(zip(row, widths, strict=True))
        )
        for row in rows
    )


def _render(name: str, value: object) -> str:
    if name == "coverage":
        return f"{value:.2%}"
    return f"{value:.1f}" if isinstance(value, float) else str(value)
