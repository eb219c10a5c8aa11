"""Bucket boundaries of latency histograms."""

LATENCY_BOUNDS_MS = (1, 2, 4, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256, 512, 1024, 4096, 16384)
