"""Runs the tests of all packages."""
