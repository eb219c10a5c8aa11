"""Hold one load pattern in each module.

A module exposes ``NAME`` and ``run(seed)``, which returns the rows that it measured: ResultRow
or a dict of its fields. ``SEEDS`` may name the seeds; one is the default.
"""
