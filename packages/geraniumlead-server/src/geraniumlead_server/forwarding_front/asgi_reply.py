"""Send one whole reply over an ASGI channel."""

from collections.abc import Awaitable, Callable, Iterable

Send = Callable[[dict], Awaitable[None]]

NO_CONTENT_STATUSES = frozenset({204, 304})
"""Statuses whose replies have neither a body nor a length."""


async def send_reply(
    send: Send, status: int, headers: Iterable[tuple[str, str]], body: bytes
) -> None:
    """Send status, headers and body; the length is added."""
    encoded = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    if status not in NO_CONTENT_STATUSES:
        encoded.append((b"content-length", b"%d" % len(body)))
    await send({"type": "http.response.start", "status": status, "headers": encoded})
    await send({"type": "http.response.body", "body": body})
