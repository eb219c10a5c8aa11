"""Define what an instance asks its surroundings to do."""

from geraniumlead.actions.action import Action
from geraniumlead.actions.answer_caller import AnswerCaller
from geraniumlead.actions.call_upstream import CallUpstream
from geraniumlead.actions.cancel_call import CancelCall
from geraniumlead.actions.give_ticket import GiveTicket
from geraniumlead.actions.read_platform import ReadPlatform
from geraniumlead.actions.report import Report
from geraniumlead.actions.send_to_peer import SendToPeer
from geraniumlead.actions.stop_now import StopNow

__all__ = [
    "Action",
    "AnswerCaller",
    "CallUpstream",
    "CancelCall",
    "GiveTicket",
    "ReadPlatform",
    "Report",
    "SendToPeer",
    "StopNow",
]
