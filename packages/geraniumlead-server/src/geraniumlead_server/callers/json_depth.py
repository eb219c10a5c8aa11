"""Limit the nesting of JSON texts."""

import re

MAX_DEPTH = 64
"""Queries are a few levels deep, and the parsers of upstreams may recurse for each level."""

_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]|[\]}]', re.DOTALL)


def is_deeper_than(data: bytes, max_depth: int) -> bool:
    """Return whether brackets are nested deeper than ``max_depth``; the text may be malformed."""
    # Most texts have no more than max_depth brackets altogether, and counting is cheap.
    if data.count(b"[") + data.count(b"{") <= max_depth:
        return False
    depth = 0
    for token in _TOKENS.finditer(data):
        match token[0][:1]:
            case b"[" | b"{":
                depth += 1
                if depth > max_depth:
                    return True
            case b"]" | b"}":
                depth -= 1
    return False
