from geraniumlead.events.caller_disconnected import CallerDisconnected
from geraniumlead.events.documents_received import DocumentsReceived
from geraniumlead.events.peer_message_received import PeerMessageReceived
from geraniumlead.events.platform_read_failed import PlatformReadFailed
from geraniumlead.events.query_arrived import QueryArrived
from geraniumlead.events.stop_requested import StopRequested
from geraniumlead.events.ticket_requested import TicketRequested
from geraniumlead.events.timer_fired import TimerFired
from geraniumlead.events.upstream_answered import UpstreamAnswered
from geraniumlead.events.upstream_disconnected import UpstreamDisconnected

Event = (
    QueryArrived
    | TicketRequested
    | CallerDisconnected
    | UpstreamAnswered
    | UpstreamDisconnected
    | PeerMessageReceived
    | DocumentsReceived
    | PlatformReadFailed
    | StopRequested
    | TimerFired
)
