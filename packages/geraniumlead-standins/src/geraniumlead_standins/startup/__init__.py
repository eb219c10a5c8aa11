"""Measures an instance's start time and its memory, idle and with many open requests."""
