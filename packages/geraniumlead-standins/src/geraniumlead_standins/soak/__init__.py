"""Run real processes with random failures and check their history."""
