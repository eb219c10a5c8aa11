"""Hold callers' connections to the limits in force."""

from collections.abc import Callable

from geraniumlead.routes import RequestLimits
from geraniumlead_server.bounded_protocol import BoundedProtocol


def protocol_with_limits(limits: Callable[[], RequestLimits]) -> type[BoundedProtocol]:
    """Return a protocol class whose limits are those in force when they are needed."""

    class LimitedProtocol(BoundedProtocol):
        """Take the limits of the operators' configuration."""

        @property
        def most_header_bytes(self) -> int:
            return limits().header_bytes

        @property
        def message_timeout_s(self) -> float:
            return limits().header_timeout_ms / 1000.0

        def on_response_complete(self) -> None:
            """Keep an idle connection as long as callers may count on it."""
            self.timeout_keep_alive = limits().idle_timeout_ms / 1000.0 + IDLE_MARGIN_S
            super().on_response_complete()

    return LimitedProtocol


IDLE_MARGIN_S = 2.0
"""Longer than callers were told, so that no request meets a connection that closes."""
