"""Prepare the document that takes an instance out or brings it back."""

from argparse import ArgumentParser, Namespace

from geraniumlead_client.addresses import add_address_arguments, read_addresses
from geraniumlead_client.capacity_left import assess_capacity
from geraniumlead_client.exit_codes import NOT_FOUND
from geraniumlead_client.fleet_documents import fetch_newest
from geraniumlead_client.management_command import ManagementCommand
from geraniumlead_client.prepared_change import PreparedChange, print_change
from geraniumlead_client.printing import print_error

STATES = {"out": "leaving", "back": "live"}
PREFIX = "geraniumlead/instances/"


class InstanceCommand(ManagementCommand):
    """Show the list to publish and what it changes; publish nothing."""

    name = "instance"
    help = "prepare taking an entry instance out, or back"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the direction, the name and the addresses."""
        parser.add_argument("direction", choices=list(STATES))
        parser.add_argument("instance", metavar="NAME")
        add_address_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Exit 1 when what remains cannot carry the load."""
        addresses = read_addresses(arguments)
        found = fetch_newest(addresses)
        if isinstance(found, int):
            return found
        change = prepare_change(found, arguments.instance, STATES[arguments.direction])
        if change is None:
            print_error(f"no list in force names {arguments.instance}")
            return NOT_FOUND
        documents = found.documents | {change.key: change.after}
        return print_change(change, assess_capacity(documents, addresses), arguments.json)


def prepare_change(found, instance_id: str, state: str) -> PreparedChange | None:
    """Return the list of the instance's data centre with its new state."""
    for key, document in found.documents.items():
        if not key.startswith(PREFIX):
            continue
        if any(entry["instance_id"] == instance_id for entry in document["instances"]):
            entries = [
                entry | {"state": state} if entry["instance_id"] == instance_id else entry
                for entry in document["instances"]
            ]
            return PreparedChange(key, found.revision, document, document | {"instances": entries})
    return None
