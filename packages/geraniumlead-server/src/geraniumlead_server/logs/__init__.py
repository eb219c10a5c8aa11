"""Write logs as JSON lines.

The request log of the query interface must be imported from its own module: it imports the
core of that interface, which a daemon on the users' platform does not load.
"""

from geraniumlead_server.logs.json_formatter import JsonFormatter, configure_logging
from geraniumlead_server.logs.queued_output import QueuedOutput

__all__ = ["JsonFormatter", "QueuedOutput", "configure_logging"]
