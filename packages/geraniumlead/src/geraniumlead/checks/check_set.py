"""Check documents together."""

import geraniumlead.checks.set_checks  # noqa: F401
from geraniumlead.checks.document_set import DocumentSet, NamedDocument
from geraniumlead.checks.message import CheckMessage
from geraniumlead.checks.registry import set_checks


def check_set(documents: list[NamedDocument]) -> list[tuple[NamedDocument, CheckMessage]]:
    """Return each finding with the document that it is about.

    A check that needs a kind of document which is not there at all stays silent, so that a
    single file can be checked as well as a whole deployment.
    """
    return set_checks.run(DocumentSet(tuple(documents)))
