from geraniumlead_standins.histories.matrix import Table
from geraniumlead_standins.history.checks import CHECKS

HEADER = """# What must always hold, checked over histories

Written by `make histories`; the numbers are of the run that wrote them. Each cell reads
*operations checked / broken with the point's safeguard patched out / broken as shipped*.
"-" stands where the safeguard was not taken out in such runs. A point with 0 operations was
not tested there. [history.md](../reference/history.md) says what each check looks for, and
[unproved.md](../unproved.md) what no run here shows.

All runs are in virtual time: two data centres with two instances and six upstreams each,
26 s, 700 operations and more, a leaving upstream, a data centre that goes out and comes
back, a graceful stop and a changed contract, besides the failures named. With an odd seed
each upstream has one owner, so that half of the subqueries pass through a peer; with an
even one every instance of a data centre owns all of its upstreams.
"""


def write_report(table: Table, seeds_text: str) -> str:
    """Return the page with the table of invariants and failures."""
    labels = list(dict.fromkeys(label for label, _ in table))
    lines = [HEADER, f"Seeds: {seeds_text}.", ""]
    lines.append("| failure | runs | " + " | ".join(CHECKS) + " |")
    lines.append("|---" * (len(CHECKS) + 2) + "|")
    for label in labels:
        cells = [table[label, invariant] for invariant in CHECKS]
        texts = [
            f"{cell.operations} / {'-' if cell.broken_without is None else cell.broken_without}"
            f" / {cell.broken_with}"
            for cell in cells
        ]
        lines.append(f"| {label} | {cells[0].runs} | " + " | ".join(texts) + " |")
    lines += ["", "## Broken as shipped", ""]
    broken = [(key, cell) for key, cell in table.items() if cell.broken_with]
    for (label, invariant), cell in broken:
        seeds = ", ".join(str(seed) for seed in cell.failing_seeds)
        lines.append(
            f"- {invariant}, {label}: {cell.broken_with}, seeds {seeds}: {cell.examples[0]}"
        )
    if not broken:
        lines.append("None in these runs.")
    lines += ["", "## Safeguard taken out", ""]
    for invariant in CHECKS:
        cells = {label: table[label, invariant].broken_without for label in labels}
        failing = [label for label, count in cells.items() if count]
        lines.append(f"- {invariant}: the check fails under {len(failing)} of these failures.")
    return "\n".join(lines) + "\n"
