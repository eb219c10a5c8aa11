"""Define the kinds of documents and the keys under which they are published."""

from enum import StrEnum

KEY_PREFIX = "geraniumlead/"


class DocumentKind(StrEnum):
    """The kinds of documents; a value is the first segment of a key after the prefix."""

    CONTRACT = "contracts"
    DATA_CENTRE = "data-centres"
    UPSTREAM_LIST = "upstreams"
    INDEX = "indexes"
    INSTANCE_LIST = "instances"


def document_key(kind: DocumentKind, *parts: str) -> str:
    """Return the platform's key of a document, such as ``geraniumlead/contracts/acme``."""
    return KEY_PREFIX + "/".join([kind.value, *parts])


def kind_of_key(key: str) -> DocumentKind | None:
    """Return the kind of document that a key holds, or None for any other key."""
    if not key.startswith(KEY_PREFIX):
        return None
    segment = key[len(KEY_PREFIX) :].split("/", 1)[0]
    try:
        return DocumentKind(segment)
    except ValueError:
        return None
