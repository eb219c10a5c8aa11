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

_TELLING_FIELDS = {
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
"""Fields that occur in one kind only."""


@dataclass(slots=True)
class CheckedText:
    """Hold what was found, each with the name it is about, and what could be decoded."""

    findings: list[tuple[str, CheckMessage]] = field(default_factory=list)
    documents: list[NamedDocument] = field(default_factory=list)


def check_text(name: str, text: bytes, kind: str | None = None) -> CheckedText:
    """Return every error in a file; ``kind`` None guesses it from telling fields."""
    checked = CheckedText()
    parsed = parse_strictly(text)
    checked.findings += [(name, message) for message in parsed.messages]
    if any(message.id == "GL-F001" for message in parsed.messages):
        return checked
    value = parsed.value
    if kind is None and isinstance(value, dict) and _is_keyed(value):
        for key, document in value.items():
            _check_keyed(checked, f"{name}#{key}", key, document)
        return checked
    kind = kind or _guess_kind(value)
    if kind is None:
        message = CheckMessage(
            id="GL-F003",
            path="$",
            text="this is no known kind of document",
            hint=f"one of {', '.join(TYPES)}, or documents by key",
        )
        checked.findings.append((name, message))
        return checked
    _check_value(checked, name, kind, value)
    return checked


def _check_keyed(checked: CheckedText, name: str, key: str, value: object) -> None:
    kind = kind_of_key(key)
    if kind is None:
        message = CheckMessage(id="GL-F003", path="$", text=f"the key {key!r} names no document")
        checked.findings.append((name, message))
        return
    document = _check_value(checked, name, kind.value, value)
    if document is not None and key_of_document(document) != key:
        message = CheckMessage(
            id="GL-F004",
            path="$",
            text="the document's name differs from its key",
            hint=f"its key is {key_of_document(document)}",
        )
        checked.findings.append((name, message))


def _check_value(checked: CheckedText, name: str, kind: str, value: object) -> object | None:
    breaches = check_schema(kind, value)
    if not breaches:
        try:
            document = convert(value, TYPES[kind])
        except ValidationError as error:
            # The decoder is stricter than its schema, for instance about huge integers.
            breaches = [CheckMessage(id="GL-S007", path="$", text=str(error))]
    checked.findings += [(name, message) for message in breaches]
    if breaches:
        return None
    checked.findings += [(name, message) for message in check_document(document)]
    if kind != SETTINGS:
        checked.documents.append(NamedDocument(name, document))
    return document


def _is_keyed(value: dict) -> bool:
    return bool(value) and all(name.startswith(KEY_PREFIX) for name in value)


def _guess_kind(value: object) -> str | None:
    if not isinstance(value, dict):
        return None
    kinds = [kind for name, kind in _TELLING_FIELDS.items() if name in value]
    return max(set(kinds), key=kinds.count) if kinds else None
