"""Admission control: which requests start, wait or are refused."""

from geraniumlead.admission.controller import AdmissionController
from geraniumlead.admission.decisions import AdmissionDecision, Admitted, Queued, Refused
from geraniumlead.admission.fleet_shares import EVERY_PEER

__all__ = [
    "EVERY_PEER",
    "AdmissionController",
    "AdmissionDecision",
    "Admitted",
    "Queued",
    "Refused",
]
