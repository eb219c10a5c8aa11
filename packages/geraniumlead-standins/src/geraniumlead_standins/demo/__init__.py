"""Runs a whole deployment on loopback for a limited time and checks the answers of its callers."""
