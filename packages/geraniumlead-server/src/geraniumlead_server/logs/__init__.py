"""Write logs as JSON lines.

The request log of the query interface is imported from its own module: with it come all
decisions of that interface, which a daemon on the users' platform does not load.
"""

from geraniumlead_server.logs.json_formatter import JsonFormatter, configure_logging
from geraniumlead_server.logs.queued_output import QueuedOutput

__all__ = ["JsonFormatter", "QueuedOutput", "configure_logging"]
