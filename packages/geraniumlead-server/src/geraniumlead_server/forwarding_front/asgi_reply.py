"""Send complete replies over an ASGI channel."""

from collections.abc import Awaitable, Callable, Iterable

Send = Callable[[dict], Awaitable[None]]

NO_CONTENT_STATUSES = frozenset({204, 304})
"""Statuses whose replies have neither a body nor a length."""


async def send_reply(
    send: Send, status: int, headers: Iterable[tuple[str, str]], body: bytes
) -> None:
    """Send status, headers and body, and add the Content-Length header."""
    # aiohttp decodes upstreams' headers this way; another encoding would change their bytes.
    encoded = [(name.encode(), value.encode("utf-8", "surrogateescape")) for name, value in headers]
    if status not in NO_CONTENT_STATUSES:
        encoded.append((b"content-length", b"%d" % len(body)))
    await send({"type": "http.response.start", "status": status, "headers": encoded})
    await send({"type": "http.response.body", "body": body})
