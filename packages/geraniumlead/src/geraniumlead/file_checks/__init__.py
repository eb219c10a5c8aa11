"""Report all errors of a file at once, by its JSON schema and by the checks.

This is a separate package so that the daemon does not load the schema library: it decodes
documents without it, and imports this package only to explain errors in its settings file.
"""

from geraniumlead.file_checks.check_text import TextCheckResult, check_text
from geraniumlead.file_checks.schemas import SCHEMA_NAMES, build_schema

__all__ = ["SCHEMA_NAMES", "TextCheckResult", "build_schema", "check_text"]
