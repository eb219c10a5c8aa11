"""Stand in for the upstreams: many servers in one process."""
