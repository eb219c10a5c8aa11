"""Name the failures of a call to the platform that the client goes on after."""

from aiohttp import ClientError
from msgspec import DecodeError

PLATFORM_ERRORS = (ClientError, OSError, TimeoutError, DecodeError, ValueError)
