"""Read a caller's body within its bounds."""

import falcon
from msgspec import DecodeError
from msgspec.json import Decoder

from geraniumlead_server.callers.json_depth import MOST_DEPTH, is_deeper_than

# What follows on such a connection would be the rest of the refused body.
_CLOSE = {"Connection": "close"}


async def read_body(request: falcon.Request, decoder: Decoder, limit_bytes: int):
    """Return the decoded body; raises 413 for a long and 400 for a malformed one."""
    length = request.content_length
    if length is not None and length > limit_bytes:
        raise _too_large(limit_bytes)
    data = await request.stream.read(limit_bytes + 1)
    if len(data) > limit_bytes:
        raise _too_large(limit_bytes)
    return _decode(data, decoder)


def _decode(data: bytes, decoder: Decoder):
    if is_deeper_than(data, MOST_DEPTH):
        raise falcon.HTTPBadRequest(title=f"the body is nested deeper than {MOST_DEPTH}")
    try:
        # The query's text is passed on as it is, so nobody else would find wrong UTF-8 in it.
        data.decode()
        return decoder.decode(data)
    except (DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise falcon.HTTPBadRequest(title="the body is malformed", description=str(error)) from None


def _too_large(limit_bytes: int) -> falcon.HTTPContentTooLarge:
    title = f"the body is longer than {limit_bytes} bytes"
    return falcon.HTTPContentTooLarge(title=title, headers=_CLOSE)
