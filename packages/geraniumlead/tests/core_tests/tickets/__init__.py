"""Test the tickets."""
