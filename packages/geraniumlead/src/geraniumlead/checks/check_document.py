"""Check a single decoded document or settings file."""

import geraniumlead.checks.contract_checks
import geraniumlead.checks.index_checks
import geraniumlead.checks.instance_list_checks
import geraniumlead.checks.settings_checks
import geraniumlead.checks.upstream_list_checks  # noqa: F401
from geraniumlead.checks.message import CheckMessage, Level
from geraniumlead.checks.registry import document_checks


def check_document(document: object) -> list[CheckMessage]:
    """Return the findings in a single document, which depend on this document alone."""
    return document_checks.run(document)


def find_refusal(document: object) -> str | None:
    """Return why the whole document has to be refused, or None."""
    errors = [item for item in check_document(document) if item.level is Level.ERROR]
    return "; ".join(item.to_text() for item in errors) or None
