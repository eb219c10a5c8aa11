"""Parse JSON text strictly."""

import json
from dataclasses import dataclass, field

from geraniumlead.checks.message import CheckMessage


@dataclass(slots=True)
class ParsedText:
    """Hold parsed JSON and what was wrong with its text."""

    value: object = None
    messages: list[CheckMessage] = field(default_factory=list)


def parse_strictly(text: bytes) -> ParsedText:
    """Parse JSON; a name that stands twice in an object is an error, not a choice."""
    parsed = ParsedText()

    def take_pairs(pairs: list[tuple[str, object]]) -> dict:
        names = [name for name, _ in pairs]
        for name in sorted({name for name in names if names.count(name) > 1}):
            parsed.messages.append(
                CheckMessage(
                    id="GL-F002",
                    path="$",
                    text=f"{name!r} stands twice in one object",
                    hint="a reader would silently take one of them",
                )
            )
        return dict(pairs)

    def refuse_constant(name: str) -> None:
        raise ValueError(f"{name} is no JSON")

    try:
        parsed.value = json.loads(
            text, object_pairs_hook=take_pairs, parse_constant=refuse_constant
        )
    except (ValueError, RecursionError) as error:
        parsed.messages.append(
            CheckMessage(id="GL-F001", path="$", text=f"malformed JSON: {error}")
        )
    return parsed
