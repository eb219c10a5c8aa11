"""Find what is wrong with documents and settings, each with an id, its path and a hint.

A check is a function of one concern in a registry. Checks of a single document also decide
whether an instance accepts it; checks of a set look at documents together and are for
operators only, since instances may hold different sets for a while.
"""

# Decoding calls the checks, so the documents have to be imported before them.
import geraniumlead.documents  # noqa: F401
from geraniumlead.checks.check_document import check_document, find_refusal
from geraniumlead.checks.check_set import check_set
from geraniumlead.checks.document_set import NamedDocument
from geraniumlead.checks.message import CheckMessage, Level

__all__ = [
    "CheckMessage",
    "Level",
    "NamedDocument",
    "check_document",
    "check_set",
    "find_refusal",
]
