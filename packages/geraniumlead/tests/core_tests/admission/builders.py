"""Test data for admission."""

from random import Random

from core_tests.builders import build_contract, build_index, build_instance
from geraniumlead.admission import AdmissionController
from geraniumlead.configuration import ClusterView
from geraniumlead.documents import InstanceListDocument
from geraniumlead.requests import CallerRequest
from geraniumlead.settings import LimitSettings


def build_request(number: int = 0, now_ms: float = 0.0, **changes) -> CallerRequest:
    """Return a lookup with a deadline 200 ms after ``now_ms``."""
    values = {
        "request_id": f"r{number}",
        "customer": "acme",
        "class_name": "lookup",
        "query": b"{}",
        "arrived_ms": now_ms,
        "deadline_ms": now_ms + 200.0,
        "least_coverage": 1.0,
    }
    return CallerRequest(**(values | changes))


def build_view(*contracts, instance_count: int = 1) -> ClusterView:
    """Return a view of contracts, one index and instances named from noord-0."""
    instances = [build_instance(number) for number in range(instance_count)]
    documents = [
        *(contracts or (build_contract(),)),
        build_index(),
        InstanceListDocument(data_centre="noord", instances=instances),
    ]
    return ClusterView.from_documents(documents)


def build_controller(view: ClusterView, **limits) -> AdmissionController:
    """Return an admission controller for noord-0."""
    controller = AdmissionController(LimitSettings(**limits), "noord-0", Random(1))
    controller.update(view)
    return controller
