"""Find errors in documents and settings, each with an id, its path and a hint.

A check is a function in a registry and covers one concern. Checks of a single document also
decide whether an instance accepts it. Checks of a set compare documents and are for operators
only, because instances may hold different sets for a while.
"""

# Decoding imports the checks. Importing the documents first avoids a circular import.
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
