"""Render plain-text tables."""


def render_table(headers: list[str], rows: list[list[object]]) -> str:
    """Return a table with aligned columns; numeric columns are right-aligned."""
    if not rows:
        return "(none)"
    lines = [headers] + [[_render(cell) for cell in row] for row in rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headers))]
    is_number = [
        all(isinstance(row[column], int | float) for row in rows) for column in range(len(headers))
    ]
    return "\n".join(
        "  ".join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(line, widths, is_number, strict=True)
        ).rstrip()
        for line in lines
    )


def _render(cell: object) -> str:
    match cell:
        case None:
            return "-"
        case bool():
            return "yes" if cell else "no"
        case float():
            return f"{cell:.1f}"
        case list() | tuple():
            return ", ".join(str(item) for item in cell) or "-"
    return str(cell)
