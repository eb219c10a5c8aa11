"""Run clusters under failure in virtual time and check their histories."""
