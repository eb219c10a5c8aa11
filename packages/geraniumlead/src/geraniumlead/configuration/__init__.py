"""Keep the published documents and derive the cluster view from them."""

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.configuration.divergence_detector import DivergenceDetector
from geraniumlead.configuration.document_request_limiter import DocumentRequestLimiter
from geraniumlead.configuration.document_store import DocumentStore
from geraniumlead.configuration.placed_upstream import PlacedUpstream
from geraniumlead.configuration.store_change import StoreChange

__all__ = [
    "ClusterView",
    "DivergenceDetector",
    "DocumentRequestLimiter",
    "DocumentStore",
    "PlacedUpstream",
    "StoreChange",
]
