from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import ClientSession, ClientTimeout, DummyCookieJar
from yarl import URL

from geraniumlead_server.upstream_client.monitored_connector import MonitoredConnector
from geraniumlead_server.upstream_client.timed_request import TimedRequest

SUBQUERIES_PATH = "/v1/subqueries"
IDLE_TIMEOUT_S = 60.0
CONNECT_TIMEOUT_S = 2.0
HEADERS = {"Content-Type": "application/json", "User-Agent": "geraniumleadd"}


@dataclass(slots=True)
class UpstreamTarget:
    """The URL of one upstream and the session with its connections.

    Each upstream has a separate session, since it has a separate connection limit. The
    client ends overdue calls, so the session has no total timeout. ``last_answer_s`` is the
    time of the latest answer on any connection.
    """

    url: URL
    session: ClientSession
    last_answer_s: float = float("-inf")

    @classmethod
    def from_address(
        cls, address: str, connections: int, on_disconnect: Callable[[], None]
    ) -> "UpstreamTarget":
        """Build a target without open connections; at most ``connections`` are opened at once."""
        connector = MonitoredConnector(
            on_disconnect, limit=connections, keepalive_timeout=IDLE_TIMEOUT_S, use_dns_cache=False
        )
        session = ClientSession(
            connector=connector,
            request_class=TimedRequest,
            auto_decompress=False,
            cookie_jar=DummyCookieJar(),
            headers=HEADERS,
            skip_auto_headers=("Accept-Encoding",),
            timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )
        return cls(URL(f"http://{address}{SUBQUERIES_PATH}"), session)
