"""Name the union of all events."""

from geraniumlead.events.caller_gone import CallerGone
from geraniumlead.events.documents_received import DocumentsReceived
from geraniumlead.events.peer_message_received import PeerMessageReceived
from geraniumlead.events.platform_silent import PlatformSilent
from geraniumlead.events.query_arrived import QueryArrived
from geraniumlead.events.stop_requested import StopRequested
from geraniumlead.events.ticket_asked import TicketAsked
from geraniumlead.events.timer_fired import TimerFired
from geraniumlead.events.upstream_answered import UpstreamAnswered
from geraniumlead.events.upstream_disconnected import UpstreamDisconnected

Event = (
    QueryArrived
    | TicketAsked
    | CallerGone
    | UpstreamAnswered
    | UpstreamDisconnected
    | PeerMessageReceived
    | DocumentsReceived
    | PlatformSilent
    | StopRequested
    | TimerFired
)
