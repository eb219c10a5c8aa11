"""Print results and errors."""

import sys

from msgspec.json import encode, format


def print_json(value: object) -> None:
    """Print indented JSON."""
    print(format(encode(value), indent=2).decode())


def print_error(text: str) -> None:
    """Print a message to standard error."""
    print(f"geraniumlead: {text}", file=sys.stderr)
