"""Log and measure forwarded requests.

The metrics modules are not imported here: loading their library takes a quarter of the start-up
time, so it is loaded when the process already serves requests.
"""

from geraniumlead_server.forwarding_telemetry.decision_log import DecisionLog
from geraniumlead_server.forwarding_telemetry.loading import load_metrics_libraries

__all__ = ["DecisionLog", "load_metrics_libraries"]
