"""Prepare the document that takes something out or brings it back."""

from abc import abstractmethod
from argparse import ArgumentParser, Namespace

from geraniumlead_client.addresses import add_address_arguments, read_addresses
from geraniumlead_client.capacity_left import assess_capacity
from geraniumlead_client.exit_codes import NOT_FOUND
from geraniumlead_client.fleet_documents import FleetDocuments, fetch_newest
from geraniumlead_client.management_command import ManagementCommand
from geraniumlead_client.prepared_change import PreparedChange, print_change
from geraniumlead_client.printing import print_error

OUT, BACK = "out", "back"


class MovingCommand(ManagementCommand):
    """Show the document to publish and what it changes; publish nothing."""

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the direction, the name and the addresses."""
        parser.add_argument("direction", choices=[OUT, BACK])
        parser.add_argument("target", metavar="NAME")
        add_address_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Exit 1 when what remains cannot carry the load."""
        addresses = read_addresses(arguments)
        found = fetch_newest(addresses)
        if isinstance(found, int):
            return found
        change = self.prepare_change(found, arguments.target, arguments.direction)
        if change is None:
            print_error(f"no document in force names {arguments.target}")
            return NOT_FOUND
        documents = found.documents | {change.key: change.after}
        return print_change(change, assess_capacity(documents, addresses), arguments.json)

    @abstractmethod
    def prepare_change(
        self, found: FleetDocuments, name: str, direction: str
    ) -> PreparedChange | None:
        """Return the change of the document that names the target; None when none does."""
