"""Render documents as an operator would write them by hand."""

from msgspec import Struct
from msgspec.json import encode, format
from msgspec.structs import fields


def render(value: Struct) -> bytes:
    """Return a value as indented JSON, without the fields that have their default value."""
    return format(encode(_without_defaults(value)), indent=2) + b"\n"


def _without_defaults(value: object) -> object:
    if isinstance(value, list | tuple):
        return [_without_defaults(item) for item in value]
    if not isinstance(value, Struct):
        return value
    kept = {}
    for field in fields(value):
        found = getattr(value, field.name)
        default = field.default_factory() if callable(field.default_factory) else field.default
        if found != default:
            kept[field.encode_name] = _without_defaults(found)
    return kept
