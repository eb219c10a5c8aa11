"""Check the text of a file: one document, one settings file, or documents by key."""

from dataclasses import dataclass, field

from msgspec import ValidationError, convert

from geraniumlead.checks.check_document import check_document
from geraniumlead.checks.document_set import NamedDocument
from geraniumlead.checks.message import CheckMessage
from geraniumlead.documents.document_keys import key_of_document
from geraniumlead.documents.kinds import KEY_PREFIX, kind_of_key
from geraniumlead.file_checks.parsing import parse_strictly
from geraniumlead.file_checks.schema_checks import check_schema
from geraniumlead.file_checks.schemas import SETTINGS, TYPES

_KIND_OF_FIELD = {
    "customer": "contracts",
    "classes": "contracts",
    "credentials_sha256": "contracts",
    "region": "data-centres",
    "upstreams": "upstreams",
    "shards": "indexes",
    "instances": "instances",
    "listen": SETTINGS,
    "platform_addresses": SETTINGS,
}
"""The kind of document of each field that occurs in one kind only."""


@dataclass(slots=True)
class TextCheckResult:
    """The findings, each with the name of its document, and the documents that were decoded."""

    findings: list[tuple[str, CheckMessage]] = field(default_factory=list)
    documents: list[NamedDocument] = field(default_factory=list)


def check_text(name: str, text: bytes, kind: str | None = None) -> TextCheckResult:
    """Return every error in a file. If ``kind`` is None, the fields determine it."""
    result = TextCheckResult()
    parsed = parse_strictly(text)
    result.findings += [(name, message) for message in parsed.messages]
    if any(message.id == "GL-F001" for message in parsed.messages):
        return result
    value = parsed.value
    if kind is None and isinstance(value, dict) and _has_document_keys(value):
        for key, document in value.items():
            _check_under_key(result, f"{name}#{key}", key, document)
        return result
    kind = kind or _detect_kind(value)
    if kind is None:
        message = CheckMessage(
            id="GL-F003",
            path="$",
            text="this is no known kind of document",
            hint=f"one of {', '.join(TYPES)}, or documents by key",
        )
        result.findings.append((name, message))
        return result
    _check_value(result, name, kind, value)
    return result


def _check_under_key(result: TextCheckResult, name: str, key: str, value: object) -> None:
    kind = kind_of_key(key)
    if kind is None:
        message = CheckMessage(id="GL-F003", path="$", text=f"the key {key!r} names no document")
        result.findings.append((name, message))
        return
    document = _check_value(result, name, kind.value, value)
    if document is not None and key_of_document(document) != key:
        message = CheckMessage(
            id="GL-F004",
            path="$",
            text="the document's name differs from its key",
            hint=f"its key is {key_of_document(document)}",
        )
        result.findings.append((name, message))


def _check_value(result: TextCheckResult, name: str, kind: str, value: object) -> object | None:
    violations = check_schema(kind, value)
    if not violations:
        try:
            document = convert(value, TYPES[kind])
        except ValidationError as error:
            # The decoder is stricter than the schema, for instance about huge integers.
            violations = [CheckMessage(id="GL-S007", path="$", text=str(error))]
    result.findings += [(name, message) for message in violations]
    if violations:
        return None
    result.findings += [(name, message) for message in check_document(document)]
    if kind != SETTINGS:
        result.documents.append(NamedDocument(name, document))
    return document


def _has_document_keys(value: dict) -> bool:
    return bool(value) and all(name.startswith(KEY_PREFIX) for name in value)


def _detect_kind(value: object) -> str | None:
    if not isinstance(value, dict):
        return None
    kinds = [kind for name, kind in _KIND_OF_FIELD.items() if name in value]
    return max(set(kinds), key=kinds.count) if kinds else None
