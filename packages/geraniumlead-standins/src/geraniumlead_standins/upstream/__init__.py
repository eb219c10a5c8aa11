"""A stand-in for the upstreams that runs many servers in one process."""
