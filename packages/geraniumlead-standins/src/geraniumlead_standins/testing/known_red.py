"""Read the list of tests that may fail because of a known fault with an open issue."""

from pathlib import Path

MAX_ENTRIES = 3


def read_known_red(path: Path) -> dict[str, str]:
    """Return the cause and issue of each listed test by its id.

    A line has the form ``test id, cause, issue``. Blank lines and lines that start with ``#``
    are ignored. Raise ValueError if there are more than ``MAX_ENTRIES`` entries.
    """
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text().splitlines()]
    entries = [line.split(",", 1) for line in lines if line and not line.startswith("#")]
    if len(entries) > MAX_ENTRIES:
        raise ValueError(
            f"{path.name} has {len(entries)} entries; at most {MAX_ENTRIES} are allowed"
        )
    return {entry[0].strip(): entry[-1].strip() for entry in entries}
