"""Offer the operators' command geraniumlead."""
