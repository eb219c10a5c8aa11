"""The operators' command ``geraniumlead``."""
