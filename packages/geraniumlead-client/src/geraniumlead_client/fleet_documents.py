"""Fetch the published documents that are in force."""

from dataclasses import dataclass

from geraniumlead_client.exit_codes import UNREACHABLE, USAGE
from geraniumlead_client.operators_api import fetch_replies
from geraniumlead_client.printing import print_error


@dataclass(slots=True, frozen=True)
class FleetDocuments:
    """The documents in force at one instance, by key, and their revision."""

    revision: int
    documents: dict[str, dict]


def fetch_newest(addresses: list[str], kind: str | None = None) -> FleetDocuments | int:
    """Return the documents of the instance with the newest revision, or an exit code.

    ``kind`` limits them to one kind of document.
    """
    if not addresses:
        print_error("give --address or --addresses")
        return USAGE
    path = "/v1/documents" if kind is None else f"/v1/documents?kind={kind}"
    bodies = [reply.body for reply in fetch_replies(addresses, path) if reply.body is not None]
    if not bodies:
        print_error("no instance answered")
        return UNREACHABLE
    newest = max(bodies, key=lambda body: body["revision"])
    return FleetDocuments(newest["revision"], newest["documents"])
