"""Check one decoded document or settings file."""

import geraniumlead.checks.contract_checks
import geraniumlead.checks.index_checks
import geraniumlead.checks.instance_list_checks
import geraniumlead.checks.settings_checks
import geraniumlead.checks.upstream_list_checks  # noqa: F401
from geraniumlead.checks.message import CheckMessage, Level
from geraniumlead.checks.registry import document_checks


def check_document(document: object) -> list[CheckMessage]:
    """Return what is wrong with a document on its own; a pure function of it."""
    return document_checks.run(document)


def find_refusal(document: object) -> str | None:
    """Return why a document has to be refused whole, or None."""
    errors = [item for item in check_document(document) if item.level is Level.ERROR]
    return "; ".join(item.to_text() for item in errors) or None
