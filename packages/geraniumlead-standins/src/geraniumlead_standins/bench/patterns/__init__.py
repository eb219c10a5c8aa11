"""Load patterns, one per module.

A module defines ``NAME`` and ``run(seed)``, which returns the rows: each a ResultRow or a dict of
its fields. It may define ``SEEDS``; without it, the pattern runs with seed 1 only.
"""
