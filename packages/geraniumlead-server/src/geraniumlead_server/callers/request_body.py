"""Read and decode a caller's request body within the limits."""

import falcon
from msgspec import DecodeError
from msgspec.json import Decoder

from geraniumlead_server.callers.json_depth import MAX_DEPTH, is_deeper_than

# The rest of a refused body would be read as the next request on the connection.
_CLOSE_HEADERS = {"Connection": "close"}


async def read_body(request: falcon.Request, decoder: Decoder, limit_bytes: int):
    """Return the decoded body; raise HTTP error 413 if it is too long, 400 if malformed."""
    length = request.content_length
    if length is not None and length > limit_bytes:
        raise _too_large(limit_bytes)
    data = await request.stream.read(limit_bytes + 1)
    if len(data) > limit_bytes:
        raise _too_large(limit_bytes)
    return _decode(data, decoder)


def _decode(data: bytes, decoder: Decoder):
    if is_deeper_than(data, MAX_DEPTH):
        raise falcon.HTTPBadRequest(title=f"the body is nested deeper than {MAX_DEPTH}")
    try:
        # The query is forwarded undecoded, so invalid UTF-8 in it would not be found later.
        data.decode()
        return decoder.decode(data)
    except (DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise falcon.HTTPBadRequest(title="the body is malformed", description=str(error)) from None


def _too_large(limit_bytes: int) -> falcon.HTTPContentTooLarge:
    title = f"the body is longer than {limit_bytes} bytes"
    return falcon.HTTPContentTooLarge(title=title, headers=_CLOSE_HEADERS)
