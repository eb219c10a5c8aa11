"""Parse JSON text strictly."""

import json
from dataclasses import dataclass, field

from geraniumlead.checks.message import CheckMessage


@dataclass(slots=True)
class ParsedText:
    """A parsed JSON value and the errors in its text."""

    value: object = None
    messages: list[CheckMessage] = field(default_factory=list)


def parse_strictly(text: bytes) -> ParsedText:
    """Parse JSON. A duplicate name in an object is an error, and neither value is preferred."""
    parsed = ParsedText()

    def build_object(pairs: list[tuple[str, object]]) -> dict:
        names = [name for name, _ in pairs]
        for name in sorted({name for name in names if names.count(name) > 1}):
            parsed.messages.append(
                CheckMessage(
                    id="GL-F002",
                    path="$",
                    text=f"{name!r} stands twice in one object",
                    hint="a parser would silently take one of them",
                )
            )
        return dict(pairs)

    def reject_constant(name: str) -> None:
        raise ValueError(f"{name} is no JSON")

    try:
        parsed.value = json.loads(
            text, object_pairs_hook=build_object, parse_constant=reject_constant
        )
    except (ValueError, RecursionError) as error:
        parsed.messages.append(
            CheckMessage(id="GL-F001", path="$", text=f"malformed JSON: {error}")
        )
    return parsed
