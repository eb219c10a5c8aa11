"""Assemble the parts of one entry instance and run them on one event loop."""

import asyncio
import logging
import signal
from random import Random, SystemRandom

from geraniumlead.actions import Action, CallUpstream, CancelCall, ReadPlatform, SendToPeer
from geraniumlead.caller_load import CallerLimits
from geraniumlead.events import PeerMessageReceived, StopRequested
from geraniumlead.instance import Instance
from geraniumlead.instance.instance import INCARNATION_BITS
from geraniumlead.peer_messages import SubqueryBatch, decode_message, encode_message
from geraniumlead.settings import InstanceSettings
from geraniumlead_server.callers import build_callers_app
from geraniumlead_server.driver import InstanceDriver
from geraniumlead_server.logs.request_log import RequestLog
from geraniumlead_server.operators import RecentRequests, build_operators_app
from geraniumlead_server.peer_transport import PeerCodec, PeerTransport
from geraniumlead_server.peer_transport.published_keys import PublishedKeys
from geraniumlead_server.platform_client import PlatformClient
from geraniumlead_server.telemetry import MetricsPage, RequestMetrics
from geraniumlead_server.upstream_client import UpstreamClient
from geraniumlead_server.web_server import WebServer

MAX_IDLE_CONNECTIONS = 2_000
"""Idle connections of the load balancer that are allowed besides those with open requests."""

MAX_OPERATOR_CONNECTIONS = 200

logger = logging.getLogger("geraniumlead")


def generate_incarnation() -> str:
    """Return a random name for this run of the process, independent of the seed in the settings."""
    return f"{SystemRandom().getrandbits(INCARNATION_BITS):012x}"


class Daemon:
    """Runs one instance until it is asked to stop and its work in progress has ended."""

    def __init__(self, settings: InstanceSettings, random: Random) -> None:
        self._settings = settings
        self._random = random

    @classmethod
    def from_settings(cls, settings: InstanceSettings) -> "Daemon":
        """Build a daemon whose random numbers are seeded by the settings, or else by the system."""
        seed = settings.seed if settings.seed is not None else SystemRandom().getrandbits(64)
        return cls(settings, Random(seed))

    async def run(self) -> None:
        """Serve requests, and return after a graceful stop."""
        loop = asyncio.get_running_loop()
        instance = Instance(
            self._settings, self._random, loop.time() * 1000.0, generate_incarnation()
        )
        driver = InstanceDriver(instance, self._carry_out)
        self._upstreams = UpstreamClient(driver.handle)
        self._platform = PlatformClient(
            self._settings.platform_addresses, driver.handle, self._random
        )
        self._peers = PeerTransport(
            self._settings,
            lambda sender_id, message, _: driver.handle(PeerMessageReceived(sender_id, message)),
            PublishedKeys(lambda: instance.parts.store.view),
            PeerCodec(encode_message, decode_message),
        )
        servers = self._build_servers(driver)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, driver.handle, StopRequested())
        self._peers.start()
        driver.start()
        tasks = [server.start() for server in servers]
        logger.info("started", extra={"fields": {"incarnation": instance.parts.incarnation}})
        await driver.stopped.wait()
        await self._close(servers, tasks)
        logger.info("stopped")

    def _build_servers(self, driver: InstanceDriver) -> list[WebServer]:
        self._recent_requests = RecentRequests()
        metrics_page = MetricsPage()
        metrics = RequestMetrics(driver.instance, metrics_page.reader, driver.now_ms)
        driver.arrival_observers.append(self._recent_requests.record_arrival)
        driver.observers += [metrics.observe, self._recent_requests.observe, RequestLog().observe]
        listen = self._settings.listen
        connections = self._settings.limits.open_requests + MAX_IDLE_CONNECTIONS
        caller_limits = CallerLimits(connections)
        operator_limits = CallerLimits(MAX_OPERATOR_CONNECTIONS)
        operators_app = build_operators_app(driver, self._recent_requests, metrics_page)
        return [
            WebServer.from_address(build_callers_app(driver), listen.callers, caller_limits),
            WebServer.from_address(operators_app, listen.operators, operator_limits),
        ]

    async def _close(self, servers: list[WebServer], tasks: list[asyncio.Task]) -> None:
        for server in servers:
            server.should_exit = True
        await asyncio.gather(*tasks)
        await self._upstreams.close()
        await self._platform.close()
        self._peers.close()

    def _carry_out(self, action: Action) -> None:
        match action:
            case CallUpstream():
                self._recent_requests.record_subquery(action.subquery, self._settings.instance_id)
                self._upstreams.call(action)
            case CancelCall(call_id=call_id):
                self._upstreams.cancel(call_id)
            case SendToPeer(message=SubqueryBatch(subqueries=subqueries)):
                for subquery in subqueries:
                    self._recent_requests.record_subquery(subquery, action.instance_id)
                self._peers.send(action)
            case SendToPeer():
                self._peers.send(action)
            case ReadPlatform(stop=True):
                self._platform.stop()
            case ReadPlatform(watch=True, read_number=number):
                self._platform.watch(number)
            case ReadPlatform(read_number=number):
                self._platform.read_once(number)
