"""Measure the slopes from which docs/CAPACITY.md is worked out."""
