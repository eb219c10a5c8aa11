"""Keys that the protocol adds to the ASGI scope of a request for the application."""

CALLER_RTT_MS = "geraniumlead.caller_rtt_ms"
"""Time that the request took on the network and that its reply will take, together."""

BEGAN_MS = "geraniumlead.began_ms"
"""When the request's first bytes reached this machine, on the clock of the event loop."""
