"""Name every error of a file at once, by its JSON schema and by the checks.

A package of its own: the daemon decodes without it, and so never loads the schema library.
"""

from geraniumlead.file_checks.check_text import CheckedText, check_text
from geraniumlead.file_checks.schemas import SCHEMA_NAMES, build_schema

__all__ = ["SCHEMA_NAMES", "CheckedText", "build_schema", "check_text"]
