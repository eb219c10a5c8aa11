"""Check a parsed document against its JSON schema, and report all errors at once."""

from collections.abc import Iterator
from difflib import get_close_matches
from functools import cache

from jsonschema import Draft202012Validator, ValidationError

from geraniumlead.checks.message import CheckMessage
from geraniumlead.file_checks.schemas import build_schema

UNIT_SUFFIXES = ("_ms", "_s", "_per_s", "_bytes", "_share", "_requests", "_shards")

_BOUNDS = {
    "minimum",
    "maximum",
    "exclusiveMinimum",
    "exclusiveMaximum",
    "minLength",
    "maxLength",
    "minItems",
    "maxItems",
    "enum",
}


def check_schema(name: str, parsed: object) -> list[CheckMessage]:
    """Return all violations of the schema of one kind of document."""
    errors = sorted(_validator(name).iter_errors(parsed), key=lambda error: error.json_path)
    return [message for error in errors for message in _build_messages(error)]


@cache
def _validator(name: str) -> Draft202012Validator:
    return Draft202012Validator(build_schema(name))


def _build_messages(error: ValidationError) -> Iterator[CheckMessage]:
    path = error.json_path
    match error.validator:
        case "additionalProperties":
            known = error.schema["properties"]
            for field in sorted(error.instance.keys() - known.keys()):
                yield _build_unknown_field_message(path, field, list(known))
        case "required":
            missing = [name for name in error.validator_value if name not in error.instance]
            # The library reports one error for each missing field and names the field in its text.
            name = next(name for name in missing if f"'{name}'" in error.message)
            yield CheckMessage(id="GL-S003", path=path, text=f"the field {name!r} is missing")
        case "type":
            hint = "the unit is in the field's name" if isinstance(error.instance, str) else ""
            yield CheckMessage(
                id="GL-S004",
                path=path,
                text=f"{error.instance!r:.60} is no {error.validator_value}",
                hint=hint,
            )
        case "pattern":
            yield CheckMessage(
                id="GL-S006",
                path=path,
                text=f"{error.instance!r:.80} does not match {error.validator_value}",
            )
        case validator if validator in _BOUNDS:
            yield CheckMessage(
                id="GL-S005",
                path=path,
                text=f"{error.instance!r:.60} breaks {validator} {error.validator_value}",
            )
        case validator:
            yield CheckMessage(id="GL-S007", path=path, text=f"{validator}: {error.message:.120}")


def _build_unknown_field_message(path: str, field: str, known: list[str]) -> CheckMessage:
    same_quantity = [name for name in known if _strip_unit(name) == _strip_unit(field)]
    if same_quantity:
        return CheckMessage(
            id="GL-S002",
            path=f"{path}.{field}",
            text=f"{field!r} has the wrong unit",
            hint=f"the field is {same_quantity[0]!r}",
        )
    matches = get_close_matches(field, known, n=1)
    return CheckMessage(
        id="GL-S001",
        path=f"{path}.{field}",
        text=f"the field {field!r} is unknown",
        hint=f"did you mean {matches[0]!r}?" if matches else f"known: {', '.join(known)}",
    )


def _strip_unit(field: str) -> str:
    for suffix in sorted(UNIT_SUFFIXES, key=len, reverse=True):
        if field.endswith(suffix):
            return field[: -len(suffix)]
    return field
