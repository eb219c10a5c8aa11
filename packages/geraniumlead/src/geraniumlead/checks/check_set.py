import geraniumlead.checks.set_checks  # noqa: F401
from geraniumlead.checks.document_set import DocumentSet, NamedDocument
from geraniumlead.checks.message import CheckMessage
from geraniumlead.checks.registry import set_checks


def check_set(documents: list[NamedDocument]) -> list[tuple[NamedDocument, CheckMessage]]:
    """Check documents together, and return each finding with the document that it is about.

    A check finds nothing if the set has no document of a kind that it needs, so that a single
    file can be checked as well as a whole deployment.
    """
    return set_checks.run(DocumentSet(tuple(documents)))
