"""Stand in for the platform, the upstreams and the callers in development and tests."""
