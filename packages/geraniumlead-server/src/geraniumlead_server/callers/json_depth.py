"""Bound the nesting of JSON texts."""

import re

MOST_DEPTH = 64
"""Queries are a few levels deep; parsers of upstreams may recurse for each level."""

_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]|[\]}]', re.DOTALL)


def is_deeper_than(data: bytes, most: int) -> bool:
    """Return whether brackets are nested deeper than ``most``; the text may be malformed."""
    # Most texts have fewer brackets than that altogether, and counting them is cheap.
    if data.count(b"[") + data.count(b"{") <= most:
        return False
    depth = 0
    for token in _TOKENS.finditer(data):
        match token[0][:1]:
            case b"[" | b"{":
                depth += 1
                if depth > most:
                    return True
            case b"]" | b"}":
                depth -= 1
    return False
