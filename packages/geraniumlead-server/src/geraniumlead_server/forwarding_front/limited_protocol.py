"""Hold callers' connections to the limits in force, and measure the way to them."""

from collections.abc import Callable

from geraniumlead.routes import RequestLimits
from geraniumlead_server.bounded_protocol import BoundedProtocol
from geraniumlead_server.forwarding_front.caller_way import measure_round_trip_ms
from geraniumlead_server.forwarding_front.scope_keys import WAY_MS

IDLE_MARGIN_S = 2.0
"""Longer than callers were told, so that no request meets a connection that closes."""


def protocol_with_limits(limits: Callable[[], RequestLimits]) -> type[BoundedProtocol]:
    """Return a protocol class whose limits are those in force when they are needed."""

    class LimitedProtocol(BoundedProtocol):
        """Take the limits of the operators' configuration."""

        _round_trip_ms: float | None = None

        @property
        def max_header_bytes(self) -> int:
            return limits().header_bytes

        @property
        def message_timeout_s(self) -> float:
            return limits().header_timeout_ms / 1000.0

        def on_message_begin(self) -> None:
            """Tell the application how long the way is.

            A caller that opened a connection for its request has waited a round trip more.
            """
            super().on_message_begin()
            if self._round_trip_ms is None:
                self._round_trip_ms = measure_round_trip_ms(self.transport.get_extra_info("socket"))
                self.scope[WAY_MS] = 2.0 * self._round_trip_ms
            else:
                self.scope[WAY_MS] = self._round_trip_ms

        def on_response_complete(self) -> None:
            """Keep an idle connection as long as callers may count on it."""
            self.timeout_keep_alive = limits().idle_timeout_ms / 1000.0 + IDLE_MARGIN_S
            super().on_response_complete()

    return LimitedProtocol
