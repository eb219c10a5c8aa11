"""Print the document of a prepared change for an operator to publish."""

from dataclasses import dataclass

from geraniumlead_client.exit_codes import FOUND_PROBLEMS, OK
from geraniumlead_client.printing import print_json
from geraniumlead_client.remaining_capacity import RemainingCapacity
from geraniumlead_client.tables import render_table


@dataclass(slots=True, frozen=True)
class PreparedChange:
    """The document in force at a revision and its replacement."""

    key: str
    revision: int
    before: dict
    after: dict


def print_change(change: PreparedChange, capacity: RemainingCapacity, as_json: bool) -> int:
    """Print the change and the remaining capacity; return the exit code."""
    if as_json:
        print_json(
            {
                "key": change.key,
                "prepared_at_revision": change.revision,
                "document": change.after,
                "services": capacity.services,
                "problems": capacity.problems,
            }
        )
        return FOUND_PROBLEMS if capacity.problems else OK
    if change.before == change.after:
        print(f"{change.key} needs no change at revision {change.revision}")
    else:
        print(f"publish under {change.key} (prepared at revision {change.revision}):")
        print_json(change.after)
    print("\nafter the change, in the data centres in service:")
    headers = ["service", "slots", "busy now", "used", "shards without a replica"]
    print(render_table(headers, capacity.rows()))
    for problem in capacity.problems:
        print(f"! {problem}")
    print("nothing was published")
    return FOUND_PROBLEMS if capacity.problems else OK
