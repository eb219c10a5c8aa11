from geraniumlead_client.fleet_documents import FleetDocuments
from geraniumlead_client.prepared_change import PreparedChange
from geraniumlead_client.state_change_command import BACK, OUT, StateChangeCommand

STATES = {OUT: "out", BACK: "in"}
PREFIX = "geraniumlead/data-centres/"


class DataCentreCommand(StateChangeCommand):
    """Prepare the document that takes a data centre out of service or brings it back."""

    name = "data-centre"
    help = "prepare to take a data centre out of service or bring it back"

    def prepare_change(
        self, fleet: FleetDocuments, name: str, direction: str
    ) -> PreparedChange | None:
        """Return the change of the data centre's document to its new state."""
        key = PREFIX + name
        before = fleet.documents.get(key)
        if before is None:
            return None
        return PreparedChange(key, fleet.revision, before, before | {"state": STATES[direction]})
