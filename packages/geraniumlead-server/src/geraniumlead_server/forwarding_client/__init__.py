"""Send opaque requests to upstreams over HTTP."""

from geraniumlead_server.forwarding_client.client import AttemptClient

__all__ = ["AttemptClient"]
