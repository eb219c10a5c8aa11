from abc import abstractmethod
from argparse import ArgumentParser, Namespace

from geraniumlead_client.addresses import add_address_arguments, read_addresses
from geraniumlead_client.exit_codes import NOT_FOUND
from geraniumlead_client.fleet_documents import FleetDocuments, fetch_newest
from geraniumlead_client.management_command import ManagementCommand
from geraniumlead_client.prepared_change import PreparedChange, print_change
from geraniumlead_client.printing import print_error
from geraniumlead_client.remaining_capacity import assess_capacity

OUT, BACK = "out", "back"


class StateChangeCommand(ManagementCommand):
    """The base class of commands that take something out of service or bring it back.

    They print the document to publish and its effect on capacity, but publish nothing.
    """

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the direction (out or back), the name and the addresses."""
        parser.add_argument("direction", choices=[OUT, BACK])
        parser.add_argument("target", metavar="NAME")
        add_address_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Return 1 if the remaining capacity cannot carry the load, 3 for an unknown name."""
        addresses = read_addresses(arguments)
        fleet = fetch_newest(addresses)
        if isinstance(fleet, int):
            return fleet
        change = self.prepare_change(fleet, arguments.target, arguments.direction)
        if change is None:
            print_error(f"no document in force names {arguments.target}")
            return NOT_FOUND
        documents = fleet.documents | {change.key: change.after}
        return print_change(change, assess_capacity(documents, addresses), arguments.json)

    @abstractmethod
    def prepare_change(
        self, fleet: FleetDocuments, name: str, direction: str
    ) -> PreparedChange | None:
        """Return the change of the document that contains ``name``, or None if none does."""
