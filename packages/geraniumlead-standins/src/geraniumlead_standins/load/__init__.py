"""Send callers' requests and count what comes back."""
