"""Take callers' opaque requests, and the balancer's question, as plain ASGI applications.

Nothing here routes, negotiates or parses bodies, which is what a web framework is for: paths
belong to operators and bodies to upstreams. falcon serves the query interface; here it would
take 0.06 s of each start, in which callers wait (docs/measurements/startup.md).
"""

from geraniumlead_server.forwarding_front.balancer_question import BalancerQuestion
from geraniumlead_server.forwarding_front.forwarding_app import ForwardingApp
from geraniumlead_server.forwarding_front.limited_protocol import protocol_with_limits

__all__ = ["BalancerQuestion", "ForwardingApp", "protocol_with_limits"]
