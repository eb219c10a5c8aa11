"""Apply the limits in force to callers' connections, and measure their round-trip time."""

from collections.abc import Callable

from geraniumlead.routes import RequestLimits
from geraniumlead_server.bounded_protocol import BoundedProtocol
from geraniumlead_server.forwarding_front.scope_keys import BEGAN_MS, CALLER_RTT_MS
from geraniumlead_server.forwarding_front.tcp_info import read_tcp_info
from geraniumlead_server.head_judgement import Acceptable, HeadJudgement

Scope = dict
"""The ASGI scope of a request."""

IDLE_MARGIN_S = 2.0
"""Added to the timeout that callers know, so that they do not send on a connection that closes."""


def protocol_with_limits(
    limits: Callable[[], RequestLimits],
    judge: Callable[[Scope], HeadJudgement] = lambda scope: Acceptable(),
) -> type[BoundedProtocol]:
    """Return a protocol class that reads the limits in force each time they are needed.

    ``judge`` is asked about a request whose head was received.
    """

    class LimitedProtocol(BoundedProtocol):
        """A protocol with the limits of the operators' configuration."""

        _round_trip_ms: float | None = None
        _has_caller_left = False

        @property
        def max_header_bytes(self) -> int:
            return limits().header_bytes

        @property
        def max_body_bytes(self) -> int:
            return limits().body_bytes

        @property
        def message_timeout_s(self) -> float:
            return limits().header_timeout_ms / 1000.0

        @property
        def unread_timeout_s(self) -> float:
            return limits().idle_timeout_ms / 1000.0

        @property
        def has_caller_left(self) -> bool:
            return self._has_caller_left

        def judge_head(self) -> HeadJudgement:
            return judge(self.scope)

        def on_message_begin(self) -> None:
            """Store the caller's round-trip time and the begin of the request in its scope.

            The request may have waited in the socket while this process was busy or stopped.
            For the first request of a connection it counts twice, since the caller has waited
            one more round trip for the connection to open.
            """
            super().on_message_begin()
            tcp_info = read_tcp_info(self.transport.get_extra_info("socket"))
            self._has_caller_left = tcp_info.is_closed_by_peer
            self.scope[BEGAN_MS] = self.loop.time() * 1000.0 - tcp_info.last_data_age_ms
            if self._round_trip_ms is None:
                self._round_trip_ms = tcp_info.round_trip_ms
                self.scope[CALLER_RTT_MS] = 2.0 * self._round_trip_ms
            else:
                self.scope[CALLER_RTT_MS] = self._round_trip_ms

        def on_response_complete(self) -> None:
            """Keep an idle connection open for longer than the timeout that callers know."""
            self.timeout_keep_alive = limits().idle_timeout_ms / 1000.0 + IDLE_MARGIN_S
            super().on_response_complete()

    return LimitedProtocol
