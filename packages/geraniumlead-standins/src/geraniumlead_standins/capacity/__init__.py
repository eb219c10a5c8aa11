"""Measure the costs per unit from which docs/CAPACITY.md is calculated."""
