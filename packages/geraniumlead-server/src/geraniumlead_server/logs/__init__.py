"""Write logs as JSON lines."""

from geraniumlead_server.logs.decision_log import DecisionLog
from geraniumlead_server.logs.json_formatter import JsonFormatter, configure_logging
from geraniumlead_server.logs.queued_output import QueuedOutput
from geraniumlead_server.logs.request_log import RequestLog

__all__ = ["DecisionLog", "JsonFormatter", "QueuedOutput", "RequestLog", "configure_logging"]
