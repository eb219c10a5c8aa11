"""Prepare the document that takes a data centre out or brings it back."""

from argparse import ArgumentParser, Namespace

from geraniumlead_client.addresses import add_address_arguments, read_addresses
from geraniumlead_client.capacity_left import assess_capacity
from geraniumlead_client.exit_codes import NOT_FOUND
from geraniumlead_client.fleet_documents import fetch_newest
from geraniumlead_client.management_command import ManagementCommand
from geraniumlead_client.prepared_change import PreparedChange, print_change
from geraniumlead_client.printing import print_error

STATES = {"out": "out", "back": "in"}


class DataCentreCommand(ManagementCommand):
    """Show the document to publish and what it changes; publish nothing."""

    name = "data-centre"
    help = "prepare taking a data centre out, or back"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the direction, the name and the addresses."""
        parser.add_argument("direction", choices=list(STATES))
        parser.add_argument("data_centre", metavar="NAME")
        add_address_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Exit 1 when what remains cannot carry the load."""
        addresses = read_addresses(arguments)
        found = fetch_newest(addresses)
        if isinstance(found, int):
            return found
        key = f"geraniumlead/data-centres/{arguments.data_centre}"
        before = found.documents.get(key)
        if before is None:
            print_error(f"no document {key} is in force")
            return NOT_FOUND
        after = before | {"state": STATES[arguments.direction]}
        change = PreparedChange(key, found.revision, before, after)
        documents = found.documents | {key: after}
        return print_change(change, assess_capacity(documents, addresses), arguments.json)
