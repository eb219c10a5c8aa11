"""Decide how a query tier serves its callers, without network, clock or global randomness."""
