"""Write configuration.md: ``python -m geraniumlead_standins.bench.configuration``."""

import argparse
import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory

from geraniumlead_standins.bench.configuration.calls_by_role import measure_calls_by_role
from geraniumlead_standins.bench.configuration.process_propagation import ProcessPropagation
from geraniumlead_standins.bench.configuration.propagation_row import PropagationRow
from geraniumlead_standins.bench.configuration.virtual_propagation import measure_virtual

FIRST_PORT = 25_500

HEAD = """# Configuration: from publication to in force

Written by `python -m geraniumlead_standins.bench.configuration`; changes are not made by hand.
A change counts as in force when the last living instance acts on it. The bound is 6 s.
Virtual rows look every 5 ms, at one instance after another; process rows ask each instance
for its status every 10 ms, so they include that.

| driver | case | instances | changes | median ms | slowest ms | late | platform calls/s |
|---|---|---|---|---|---|---|---|
"""

ROLES = """
## Platform calls by role

In virtual time, 20 s, no changes. A watcher's check each second is an answered call; a read is
begun by a watcher that starts anew, and by any other instance that hears of no news.

| platform | instances | watchers | reads/s of watchers | reads/s of others | answered calls/s |
|---|---|---|---|---|---|
"""


def _render_row(row: PropagationRow) -> str:
    cells = (
        *(row.driver, row.case, row.instances, row.changes),
        *(row.median_ms, row.slowest_ms, row.late, row.platform_calls_per_s),
    )
    return "| " + " | ".join(str(cell) for cell in cells) + " |\n"


def _render_roles(name: str, figures: dict[str, float]) -> str:
    return "| " + " | ".join([name, *(str(figure) for figure in figures.values())]) + " |\n"


def main() -> None:
    """Run the measurements and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, default=Path("docs/measurements"))
    parser.add_argument("--first-port", type=int, default=FIRST_PORT)
    arguments = parser.parse_args()
    with TemporaryDirectory() as folder:
        propagation = ProcessPropagation(Path(folder), arguments.first_port)
        rows = asyncio.run(propagation.measure())
    rows += measure_virtual()
    text = HEAD + "".join(_render_row(row) for row in rows) + ROLES
    text += _render_roles("up", measure_calls_by_role(is_down=False))
    text += _render_roles("down", measure_calls_by_role(is_down=True))
    arguments.folder.mkdir(parents=True, exist_ok=True)
    path = arguments.folder / "configuration.md"
    path.write_text(text)
    print(text)


if __name__ == "__main__":
    main()
