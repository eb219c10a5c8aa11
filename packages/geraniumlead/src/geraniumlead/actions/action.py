"""Name the union of all actions."""

from geraniumlead.actions.answer_caller import AnswerCaller
from geraniumlead.actions.call_upstream import CallUpstream
from geraniumlead.actions.cancel_call import CancelCall
from geraniumlead.actions.give_ticket import GiveTicket
from geraniumlead.actions.read_platform import ReadPlatform
from geraniumlead.actions.report import Report
from geraniumlead.actions.send_to_peer import SendToPeer
from geraniumlead.actions.stop_now import StopNow

Action = (
    AnswerCaller
    | GiveTicket
    | CallUpstream
    | CancelCall
    | SendToPeer
    | ReadPlatform
    | Report
    | StopNow
)
