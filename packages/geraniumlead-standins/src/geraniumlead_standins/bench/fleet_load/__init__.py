"""Simulate a fleet that queries an index of many shards, in virtual time with slow processors."""
