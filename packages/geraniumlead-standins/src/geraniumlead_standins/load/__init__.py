"""Sends callers' requests and counts their outcomes."""
