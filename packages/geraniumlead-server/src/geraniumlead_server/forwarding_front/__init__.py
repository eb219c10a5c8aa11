"""Plain ASGI applications for callers' opaque requests and the load balancer's readiness checks.

Routing, content negotiation and parsing of bodies, for which a web framework is used, are not
needed here: operators define the paths, and upstreams interpret the bodies. falcon serves the
query interface; here it would add 0.06 s to each start, in which callers wait
(docs/measurements/startup.md).
"""

from geraniumlead_server.forwarding_front.forwarding_app import ForwardingApp
from geraniumlead_server.forwarding_front.head_judge import judge_head
from geraniumlead_server.forwarding_front.limited_protocol import protocol_with_limits
from geraniumlead_server.forwarding_front.readiness_app import ReadinessApp

__all__ = ["ForwardingApp", "ReadinessApp", "judge_head", "protocol_with_limits"]
