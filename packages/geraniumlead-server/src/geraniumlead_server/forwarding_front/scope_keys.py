"""Keys that the protocol adds to the ASGI scope of a request for the application."""

CALLER_RTT_MS = "geraniumlead.caller_rtt_ms"
"""Time that the request took on the network and that its reply will take, together."""
