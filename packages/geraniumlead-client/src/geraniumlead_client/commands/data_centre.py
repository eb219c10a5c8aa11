"""Prepare the document that takes a data centre out or brings it back."""

from geraniumlead_client.fleet_documents import FleetDocuments
from geraniumlead_client.moving_command import BACK, OUT, MovingCommand
from geraniumlead_client.prepared_change import PreparedChange

STATES = {OUT: "out", BACK: "in"}
PREFIX = "geraniumlead/data-centres/"


class DataCentreCommand(MovingCommand):
    """Change the state of a data centre's document."""

    name = "data-centre"
    help = "prepare taking a data centre out, or back"

    def prepare_change(
        self, found: FleetDocuments, name: str, direction: str
    ) -> PreparedChange | None:
        """Return the data centre's document with its new state."""
        key = PREFIX + name
        before = found.documents.get(key)
        if before is None:
            return None
        return PreparedChange(key, found.revision, before, before | {"state": STATES[direction]})
