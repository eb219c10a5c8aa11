"""Run real processes under random failure and check the history."""
