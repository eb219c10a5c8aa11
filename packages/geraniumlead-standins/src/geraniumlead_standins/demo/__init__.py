"""Run a whole deployment on loopback for a while and judge what its callers received."""
