"""Keep the published documents and the view that follows from them."""

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.configuration.divergence import DivergenceWatch
from geraniumlead.configuration.document_store import DocumentStore
from geraniumlead.configuration.placed_upstream import PlacedUpstream
from geraniumlead.configuration.question_gate import QuestionGate
from geraniumlead.configuration.store_change import StoreChange

__all__ = [
    "ClusterView",
    "DivergenceWatch",
    "DocumentStore",
    "PlacedUpstream",
    "QuestionGate",
    "StoreChange",
]
