"""Keep the connections to one upstream."""

from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import ClientSession, ClientTimeout, DummyCookieJar
from yarl import URL

from geraniumlead_server.upstream_client.watched_connector import WatchedConnector

PATH = "/v1/subqueries"
IDLE_S = 60.0
CONNECT_TIMEOUT_S = 2.0
HEADERS = {"Content-Type": "application/json", "User-Agent": "geraniumleadd"}


@dataclass(slots=True)
class UpstreamTarget:
    """Hold the parsed URL and the session of one upstream.

    Each upstream has a session of its own, since its connection limit is its own. The
    caller ends overdue calls, so the session has no total timeout. ``answered_s`` is the time
    of the latest answer on any connection.
    """

    url: URL
    session: ClientSession
    answered_s: float = float("-inf")

    @classmethod
    def from_address(
        cls, address: str, connections: int, on_disconnect: Callable[[], None]
    ) -> "UpstreamTarget":
        """Open no connection yet; at most ``connections`` will be open at once."""
        connector = WatchedConnector(
            on_disconnect, limit=connections, keepalive_timeout=IDLE_S, use_dns_cache=False
        )
        session = ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=DummyCookieJar(),
            headers=HEADERS,
            skip_auto_headers=("Accept-Encoding",),
            timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )
        return cls(URL(f"http://{address}{PATH}"), session)
