"""Write the log as JSON lines."""

from geraniumlead_server.logs.json_formatter import JsonFormatter, configure_logging

__all__ = ["JsonFormatter", "configure_logging"]
