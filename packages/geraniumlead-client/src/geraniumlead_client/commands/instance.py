"""Prepare the document that takes an instance out or brings it back."""

from geraniumlead_client.fleet_documents import FleetDocuments
from geraniumlead_client.moving_command import BACK, OUT, MovingCommand
from geraniumlead_client.prepared_change import PreparedChange

STATES = {OUT: "leaving", BACK: "live"}
PREFIX = "geraniumlead/instances/"


class InstanceCommand(MovingCommand):
    """Change the state of an entry in the list of its data centre."""

    name = "instance"
    help = "prepare taking an entry instance out, or back"

    def prepare_change(
        self, found: FleetDocuments, name: str, direction: str
    ) -> PreparedChange | None:
        """Return the list of the instance's data centre with its new state."""
        for key, document in found.documents.items():
            listed = document["instances"] if key.startswith(PREFIX) else []
            if any(entry["instance_id"] == name for entry in listed):
                entries = [
                    entry | {"state": STATES[direction]} if entry["instance_id"] == name else entry
                    for entry in listed
                ]
                after = document | {"instances": entries}
                return PreparedChange(key, found.revision, document, after)
        return None
