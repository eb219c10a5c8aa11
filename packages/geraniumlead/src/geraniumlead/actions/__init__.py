"""Actions that an instance returns for its driver to carry out."""

from geraniumlead.actions.action import Action
from geraniumlead.actions.answer_caller import AnswerCaller
from geraniumlead.actions.answer_ticket_request import AnswerTicketRequest
from geraniumlead.actions.call_upstream import CallUpstream
from geraniumlead.actions.cancel_call import CancelCall
from geraniumlead.actions.read_platform import ReadPlatform
from geraniumlead.actions.report import Report
from geraniumlead.actions.send_to_peer import SendToPeer
from geraniumlead.actions.stop_now import StopNow

__all__ = [
    "Action",
    "AnswerCaller",
    "AnswerTicketRequest",
    "CallUpstream",
    "CancelCall",
    "ReadPlatform",
    "Report",
    "SendToPeer",
    "StopNow",
]
