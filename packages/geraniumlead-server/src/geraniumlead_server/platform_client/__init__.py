"""Client of the platform's configuration service."""

from geraniumlead_server.platform_client.client import PlatformClient

__all__ = ["PlatformClient"]
