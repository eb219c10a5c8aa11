"""Write logs as JSON lines."""

from geraniumlead_server.logs.json_formatter import configure_logging
from geraniumlead_server.logs.request_log import RequestLog

__all__ = ["RequestLog", "configure_logging"]
