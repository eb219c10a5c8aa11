"""Run clusters with failures in virtual time and check their histories."""
