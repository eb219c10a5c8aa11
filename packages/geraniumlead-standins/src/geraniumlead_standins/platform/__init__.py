"""A stand-in for the platform's configuration service, the etcd v3 JSON gateway."""
