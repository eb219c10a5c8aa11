from geraniumlead_client.fleet_documents import FleetDocuments
from geraniumlead_client.prepared_change import PreparedChange
from geraniumlead_client.state_change_command import BACK, OUT, StateChangeCommand

STATES = {OUT: "leaving", BACK: "live"}
PREFIX = "geraniumlead/instances/"


class InstanceCommand(StateChangeCommand):
    """Prepare the instance list that takes an entry instance out of service or brings it back."""

    name = "instance"
    help = "prepare to take an entry instance out of service or bring it back"

    def prepare_change(
        self, fleet: FleetDocuments, name: str, direction: str
    ) -> PreparedChange | None:
        """Return the change of the instance list that sets the instance's new state."""
        for key, document in fleet.documents.items():
            entries = document["instances"] if key.startswith(PREFIX) else []
            if any(entry["instance_id"] == name for entry in entries):
                updated_entries = [
                    entry | {"state": STATES[direction]} if entry["instance_id"] == name else entry
                    for entry in entries
                ]
                after = document | {"instances": updated_entries}
                return PreparedChange(key, fleet.revision, document, after)
        return None
