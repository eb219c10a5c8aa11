"""Name what the front puts into the scope of a request, for its sink."""

RECEIVE = "geraniumlead.receive"
"""The server's own channel, by which a caller's close is seen."""

WAY_MS = "geraniumlead.way_ms"
"""The time that the request's way has taken and the reply's will take."""
