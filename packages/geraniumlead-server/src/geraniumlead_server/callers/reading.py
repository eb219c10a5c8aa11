"""Read a caller's body within its bounds."""

import falcon
from msgspec import DecodeError
from msgspec.json import Decoder


async def read_body(request: falcon.Request, decoder: Decoder, limit_bytes: int):
    """Return the decoded body; raises 413 for a long one and 400 for a malformed one."""
    length = request.content_length
    if length is not None and length > limit_bytes:
        raise falcon.HTTPPayloadTooLarge(title=f"the body is longer than {limit_bytes} bytes")
    data = await request.stream.read(limit_bytes + 1)
    if len(data) > limit_bytes:
        raise falcon.HTTPPayloadTooLarge(title=f"the body is longer than {limit_bytes} bytes")
    try:
        return decoder.decode(data)
    except DecodeError as error:
        raise falcon.HTTPBadRequest(title="the body is malformed", description=str(error)) from None
