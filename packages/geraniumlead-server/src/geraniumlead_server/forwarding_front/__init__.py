"""Take opaque requests over HTTP."""

from geraniumlead_server.forwarding_front.app import build_forwarding_app, build_ready_app
from geraniumlead_server.forwarding_front.limited_protocol import protocol_with_limits

__all__ = ["build_forwarding_app", "build_ready_app", "protocol_with_limits"]
