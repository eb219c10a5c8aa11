"""Fetch the documents in force."""

from dataclasses import dataclass

from geraniumlead_client.exit_codes import UNREACHABLE, USAGE
from geraniumlead_client.operators_api import ask
from geraniumlead_client.printing import print_error


@dataclass(slots=True, frozen=True)
class FleetDocuments:
    """Hold the documents of one instance, by key."""

    revision: int
    documents: dict[str, dict]


def fetch_newest(addresses: list[str], kind: str | None = None) -> FleetDocuments | int:
    """Return the documents of the instance with the newest revision, or an exit code."""
    if not addresses:
        print_error("give --address or --addresses")
        return USAGE
    path = "/v1/documents" if kind is None else f"/v1/documents?kind={kind}"
    bodies = [reply.body for reply in ask(addresses, path) if reply.body is not None]
    if not bodies:
        print_error("no instance answered")
        return UNREACHABLE
    newest = max(bodies, key=lambda body: body["revision"])
    return FleetDocuments(newest["revision"], newest["documents"])
