"""Read the list of tests that may fail for a fault that has an open issue."""

from pathlib import Path

MOST_ENTRIES = 3


def read_known_red(path: Path) -> dict[str, str]:
    """Return test id to cause and issue; raises ValueError for more than three entries.

    A line reads ``test id, cause, issue``; blank lines and lines that start with ``#`` are
    left out.
    """
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text().splitlines()]
    entries = [line.split(",", 1) for line in lines if line and not line.startswith("#")]
    if len(entries) > MOST_ENTRIES:
        raise ValueError(f"{path.name} has {len(entries)} entries; {MOST_ENTRIES} is the most")
    return {entry[0].strip(): entry[-1].strip() for entry in entries}
