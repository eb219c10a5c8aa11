"""Measure and write the capacity page: ``python -m geraniumlead_standins.capacity``."""

import argparse
import tempfile
from pathlib import Path

from msgspec.json import decode, encode, format

from geraniumlead_standins.capacity.page import render_page
from geraniumlead_standins.capacity.record import measure_all, measure_lines

RECORD_FILE = Path("docs/measurements/capacity.json")
CONTROL_FILE = Path("docs/measurements/control.json")
PAGE_FILE = Path("docs/CAPACITY.md")


def print_progress(text: str) -> None:
    """Print which measurement begins."""
    print(f"measuring {text}", flush=True)


def write_record(record: dict) -> None:
    """Write the record, indented so that it is readable in a diff."""
    RECORD_FILE.write_bytes(format(encode(record), indent=1) + b"\n")


def main() -> None:
    """Run the measurements that the options ask for, then write the page from the records."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--render", action="store_true", help="write the page, measure nothing")
    parser.add_argument(
        "--lines", action="store_true", help="measure again what needs no other process"
    )
    arguments = parser.parse_args()
    if arguments.lines:
        write_record(measure_lines(decode(RECORD_FILE.read_bytes()), print_progress))
    elif not arguments.render:
        with tempfile.TemporaryDirectory() as folder:
            write_record(measure_all(Path(folder), print_progress))
    measured = decode(RECORD_FILE.read_bytes())
    control = decode(CONTROL_FILE.read_bytes())
    PAGE_FILE.write_text(render_page(measured, control))
    print(f"wrote {PAGE_FILE}")


if __name__ == "__main__":
    main()
