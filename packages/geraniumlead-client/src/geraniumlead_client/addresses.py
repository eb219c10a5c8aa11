"""Command-line arguments for the addresses of instances that serve operators."""

from argparse import ArgumentParser, Namespace
from pathlib import Path


def add_address_arguments(parser: ArgumentParser) -> None:
    """Add the arguments that select the instances to query."""
    parser.add_argument(
        "--address",
        action="append",
        default=[],
        metavar="IP:PORT",
        help="operators' address of an instance; may be given several times",
    )
    parser.add_argument(
        "--addresses", type=Path, metavar="FILE", help="file of addresses, one per line"
    )
    parser.add_argument("--json", action="store_true", help="print JSON for programs")


def read_addresses(arguments: Namespace) -> list[str]:
    """Return the addresses without duplicates, in the order given."""
    addresses = list(arguments.address)
    if arguments.addresses is not None:
        lines = (line.strip() for line in arguments.addresses.read_text().splitlines())
        addresses += [line for line in lines if line and not line.startswith("#")]
    return list(dict.fromkeys(addresses))
