"""Clients that don't behave, played against instances as processes, beside ordinary traffic."""
