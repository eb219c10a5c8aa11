"""JSON messages of the etcd v3 gateway, which is the platform's interface."""

from base64 import b64decode, b64encode

from msgspec import Struct, field

from geraniumlead.documents import KEY_PREFIX, VersionedValue


class ResponseHeader(Struct):
    """The revision of the whole store; 64-bit numbers are encoded as strings."""

    revision: str = "0"


class KeyValue(Struct):
    """One key and its value, both in base64."""

    key: str
    value: str = ""
    mod_revision: str = "0"

    def to_versioned(self) -> VersionedValue:
        """Return the stored value with its revision."""
        return VersionedValue(
            b64decode(self.key).decode(), int(self.mod_revision), b64decode(self.value)
        )

    def to_deletion(self) -> VersionedValue:
        """Return the deletion of the key."""
        return VersionedValue(b64decode(self.key).decode(), int(self.mod_revision), None)


class RangeResponse(Struct):
    """The response of /v3/kv/range; ``count`` counts all selected keys, whatever the limit."""

    header: ResponseHeader
    kvs: list[KeyValue] = field(default_factory=list)
    count: str = "0"


class WatchEvent(Struct):
    """One change; a missing type means a put."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(Struct):
    """One message of a watch."""

    header: ResponseHeader
    events: list[WatchEvent] = field(default_factory=list)
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"


class WatchLine(Struct):
    """One line of the watch's response body."""

    result: WatchResult


def encode_base64(text: str) -> str:
    """Return a text in base64, the encoding of keys."""
    return b64encode(text.encode()).decode()


def prefix_range() -> dict[str, str]:
    """Return the key and range_end that select every key with the prefix."""
    end = KEY_PREFIX[:-1] + chr(ord(KEY_PREFIX[-1]) + 1)
    return {"key": encode_base64(KEY_PREFIX), "range_end": encode_base64(end)}


def newest_key_range() -> dict[str, str | bool]:
    """Return a range that selects the last changed key, without its value, and the count."""
    newest = {"limit": "1", "sort_order": "DESCEND", "sort_target": "MOD", "keys_only": True}
    return prefix_range() | newest
