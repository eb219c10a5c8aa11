"""Compare the forwarding decisions with decisions that have perfect knowledge."""
