"""Measure how long a change takes to be in force, and what it asks of the platform."""
