"""The HTTP client of upstreams."""

from geraniumlead_server.upstream_client.client import UpstreamClient

__all__ = ["UpstreamClient"]
