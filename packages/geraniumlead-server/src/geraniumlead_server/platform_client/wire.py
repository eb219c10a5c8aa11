"""Describe the JSON of the etcd v3 gateway that the platform speaks."""

from base64 import b64decode, b64encode

from msgspec import Struct, field

from geraniumlead.documents import KEY_PREFIX, VersionedValue


class Header(Struct):
    """Carry the revision of the whole store; 64-bit numbers travel as strings."""

    revision: str = "0"


class KeyValue(Struct):
    """Carry one key in base64."""

    key: str
    value: str = ""
    mod_revision: str = "0"

    def to_versioned(self) -> VersionedValue:
        """Return the value that was put."""
        return VersionedValue(
            b64decode(self.key).decode(), int(self.mod_revision), b64decode(self.value)
        )

    def to_deletion(self) -> VersionedValue:
        """Return the deletion of the key."""
        return VersionedValue(b64decode(self.key).decode(), int(self.mod_revision), None)


class RangeResponse(Struct):
    """Be the answer of /v3/kv/range; ``count`` is of all keys, whatever the limit."""

    header: Header
    kvs: list[KeyValue] = field(default_factory=list)
    count: str = "0"


class WatchEvent(Struct):
    """Carry one change; a missing type is a put."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(Struct):
    """Be one message of a watch."""

    header: Header
    events: list[WatchEvent] = field(default_factory=list)
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"


class WatchLine(Struct):
    """Be one line of the watch's body."""

    result: WatchResult


def encode_text(text: str) -> str:
    """Return base64, in which keys travel."""
    return b64encode(text.encode()).decode()


def prefix_range() -> dict[str, str]:
    """Return the key and range_end that select every key below the prefix."""
    end = KEY_PREFIX[:-1] + chr(ord(KEY_PREFIX[-1]) + 1)
    return {"key": encode_text(KEY_PREFIX), "range_end": encode_text(end)}


def newest_key_range() -> dict[str, str | bool]:
    """Return a range that selects the key changed last, without its value, and the count."""
    newest = {"limit": "1", "sort_order": "DESCEND", "sort_target": "MOD", "keys_only": True}
    return prefix_range() | newest
