"""Exceptions of a call to the platform after which the client tries the next address."""

from aiohttp import ClientError
from msgspec import DecodeError

PLATFORM_ERRORS = (ClientError, OSError, TimeoutError, DecodeError, ValueError)
