"""Test quarantine."""
