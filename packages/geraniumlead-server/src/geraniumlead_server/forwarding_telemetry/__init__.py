"""Log and measure forwarded requests.

The metrics are no part of the public names here: their library takes a quarter of a start,
and is loaded when the process already serves.
"""

from geraniumlead_server.forwarding_telemetry.decision_log import DecisionLog
from geraniumlead_server.forwarding_telemetry.loading import load_metrics_libraries

__all__ = ["DecisionLog", "load_metrics_libraries"]
