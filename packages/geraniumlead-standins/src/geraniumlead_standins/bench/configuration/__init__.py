"""Measure how long a change takes to be in force, and how many platform calls there are."""
