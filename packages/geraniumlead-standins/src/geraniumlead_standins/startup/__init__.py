"""Measure an instance's start and its memory, idle and with many open requests."""
