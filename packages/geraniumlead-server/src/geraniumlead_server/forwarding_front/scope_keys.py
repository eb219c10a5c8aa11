"""Name what the front's protocol puts into the scope of a request, for its application."""

WAY_MS = "geraniumlead.way_ms"
"""The time that the request's way has taken and the reply's will take."""
