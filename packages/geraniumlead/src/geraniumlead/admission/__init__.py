"""Decide whom to serve, who waits and who is refused."""

from geraniumlead.admission.controller import AdmissionController
from geraniumlead.admission.decisions import AdmissionDecision, Admitted, Queued, Refused

__all__ = ["AdmissionController", "AdmissionDecision", "Admitted", "Queued", "Refused"]
