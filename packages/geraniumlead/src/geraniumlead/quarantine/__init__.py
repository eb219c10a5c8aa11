"""Keep a request that crashes its upstreams from crashing them all."""

from geraniumlead.quarantine.canary import choose_canary_replicas, choose_canary_shard
from geraniumlead.quarantine.fingerprint import compute_fingerprint
from geraniumlead.quarantine.quarantine_book import QuarantineBook

__all__ = [
    "QuarantineBook",
    "choose_canary_replicas",
    "choose_canary_shard",
    "compute_fingerprint",
]
