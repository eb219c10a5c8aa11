"""Limit the time, the bytes, the memory and the work that callers' connections take."""

from asyncio import TimerHandle
from functools import partial

from geraniumlead.caller_load import RefusalCause
from geraniumlead_server.caller_flow import CallerFlow
from geraniumlead_server.caller_guard import CallerGuard
from geraniumlead_server.head_judgement import (
    Acceptable,
    HeadJudgement,
    Refused,
    render_refusal,
)
from geraniumlead_server.piecewise_protocol import PiecewiseProtocol
from geraniumlead_server.unread_watch import UnreadWatch

MESSAGE_TIMEOUT_S = 5.0
"""Enough for a body of 64 KB at 13 KB a second, which any caller's network provides."""

UNREAD_TIMEOUT_S = 30.0
"""Time in which a caller has to take a byte of an answer that does not fit into the network."""

LINGER_S = 1.0
"""Delay before a connection is closed after an error response. Closing it while bytes are
unread resets the connection, and the caller may never receive the response."""

MAX_LINGER_BYTES = 65_536
"""Bytes that are read and ignored in that time; most callers send all before they read."""

LARGE_REQUEST_BYTES = 16_384
"""Memory from which a request may be refused because others take too much of it."""


class BoundedProtocol(PiecewiseProtocol):
    """Closes connections that send a request too slowly, and those that press on others.

    uvicorn limits neither: a connection that sends a byte now and then would stay open for
    ever, and a few thousand of them would use up the process's file descriptors. One timer
    covers the headers and the body of a message, so that single bytes do not extend it.

    What the connections hold together is decided by the account of ``guard``; this class reports
    and obeys.
    """

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self._lingered_bytes = 0
        self._is_unstarted = False
        self._has_place = False
        self._judgement: HeadJudgement | None = None
        self._timer: TimerHandle | None = None
        self._unread: UnreadWatch | None = None

    @classmethod
    def with_guard(cls, guard: CallerGuard) -> "type[BoundedProtocol]":
        """Return the protocol of the connections of one server."""
        return type(cls.__name__, (cls,), {"guard": guard})

    @property
    def message_timeout_s(self) -> float:
        """Return the time within which a whole message must be received."""
        return MESSAGE_TIMEOUT_S

    @property
    def unread_timeout_s(self) -> float:
        """Return the time within which a caller must take some of its answer."""
        return UNREAD_TIMEOUT_S

    @property
    def has_caller_left(self) -> bool:
        """Return whether the caller had closed its connection when its request was read."""
        return False

    def judge_head(self) -> HeadJudgement:
        """Return whether the request whose head was received may be forwarded."""
        return Acceptable()

    def connection_made(self, transport) -> None:
        """Start the timer, so that a connection without a request is closed like a slow one."""
        super().connection_made(transport)
        self.flow = CallerFlow(transport)
        # Any unread byte counts, and the next request waits until it is read.
        transport.set_write_buffer_limits(high=0)
        self._start_timer()
        self.guard.open(self)
        if not self._has_place:
            self.flow.hold()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop all timers and forget what was received."""
        self._cancel_timer()
        self._stop_unread_watch()
        self._unset_keepalive_if_required()
        self._received.clear()
        self.guard.close(self)
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Begin to judge anew."""
        self._judgement = None
        super().on_message_begin()

    def begin_reading(self) -> None:
        """Read requests, since the connection has a place."""
        self._has_place = True
        self.flow.release()

    def close_for_others(self, cause: RefusalCause) -> None:
        """Refuse the request that is being received, or close the connection."""
        if self.transport.is_closing() or self._is_rejected:
            self.transport.abort()
        elif self._is_receiving:
            self._refuse(Refused(503, cause, self.guard.draw_retry_after_ms()))
        else:
            self.guard.record_refusal(cause)
            self._close_unread()
        if cause is RefusalCause.CONNECTIONS:
            self.transport.close()

    def refuse_start(self) -> None:
        """Refuse a whole request that was not started in time.

        The connection stays open if its caller may use it again: a caller that waits for its end
        would come back with another request as soon as it is closed. One that has sent the next
        request already would be back at once, so its connection is closed.
        """
        refused = Refused(503, RefusalCause.OVERLOAD, self.guard.draw_retry_after_ms())
        cycle = self._open_cycle
        if self._received or not cycle.keep_alive:
            self._refuse(refused)
            return
        self.guard.record_refusal(refused.cause)
        self._is_unstarted = False
        self._end_cycle()
        cycle.response_complete = True
        self.transport.write(render_refusal(refused, keeps_connection=True))
        self.on_response_complete()

    def start_request(self) -> None:
        """Hand a whole request to the application."""
        self._is_unstarted = False
        self._complete_request()

    def on_response_complete(self) -> None:
        """Go on with the next request once the answer is read."""
        self._open_cycle = None
        super().on_response_complete()
        unread_bytes = self.transport.get_write_buffer_size()
        if unread_bytes:
            self._watch_unread()
        self.guard.wait(self, unread_bytes)
        self._go_on()

    def resume_writing(self) -> None:
        """Go on with the next request, since the answer was read."""
        super().resume_writing()
        self._stop_unread_watch()
        if self._open_cycle is None and not self._is_rejected:
            self.guard.hold_unread(self, 0)
            self._go_on()

    @property
    def _is_receiving(self) -> bool:
        """Return whether a request was begun that has not been handed to the application."""
        return self._is_unstarted or self._message.has_begun

    def _begin_receiving(self) -> None:
        """Refuse a request whose head is enough to know, and report the memory of others."""
        self._start_timer()
        if not self._message.is_in_headers and self._open_cycle is not None:
            match self._judge():
                case Refused() as refused:
                    self._refuse(refused)
                    return
        held_bytes = self._message.size().received_bytes() + len(self._received)
        if held_bytes >= LARGE_REQUEST_BYTES:
            self.guard.receive(self, held_bytes, held_bytes + self._message.missing_bytes)

    def _end_receiving(self) -> None:
        self._cancel_timer()

    def _begin_running(self) -> None:
        """Report the memory of a whole request, or refuse it before the application has it."""
        if self.has_caller_left:
            self._drop_caller()
            return
        size = self._message.size()
        is_large = size.received_bytes() >= LARGE_REQUEST_BYTES
        copies = 1
        if is_large:
            match self._judge():
                case Refused() as refused:
                    self._refuse(refused)
                    return
                case Acceptable(copies=copies):
                    pass
        if not self.guard.run(self, size.forwarded_bytes(copies), is_large):
            self._refuse(Refused(503, RefusalCause.MEMORY, self.guard.draw_retry_after_ms()))
            return
        self._is_unstarted = True
        self.guard.start(self)

    def _judge(self) -> HeadJudgement:
        if self._judgement is None:
            self._judgement = self.judge_head()
        return self._judgement

    def _close_unread(self) -> None:
        """Close the connection, at once if an answer is not read: to send it may take for ever."""
        if self.flow.write_paused:
            self.transport.abort()
        else:
            self.transport.close()

    def _start_timer(self) -> None:
        if self._timer is None:
            self._timer = self.loop.call_later(self.message_timeout_s, self._handle_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        self._timer = None
        if self._message.header_bytes == 0 and self._message.is_in_headers:
            # No request was begun: the caller would take a response for that of its next one.
            self.transport.close()
            return
        self._refuse(Refused(408, RefusalCause.TOO_SLOW))

    def _watch_unread(self) -> None:
        report = partial(self.guard.hold_unread, self)
        self._unread = UnreadWatch(self.transport, report, self._give_up_answer)
        self._unread.start(self.unread_timeout_s)

    def _stop_unread_watch(self) -> None:
        if self._unread is not None:
            self._unread.stop()
            self._unread = None

    def _give_up_answer(self) -> None:
        self.guard.record_refusal(RefusalCause.NOT_READING)
        self.transport.abort()

    def _refuse(self, refused: Refused) -> None:
        """Answer the request that is being received, and close its connection."""
        self.guard.record_refusal(refused.cause)
        self._is_rejected = True
        self._is_unstarted = False
        self._cancel_timer()
        self._unset_keepalive_if_required()
        self._received.clear()
        self.guard.leave_turns(self)
        self.guard.hold_unread(self, 0)
        if self._end_cycle():
            self.transport.close()
            return
        self.transport.write(render_refusal(refused))
        self.flow.release()
        self.flow.resume_reading()
        self.loop.call_later(LINGER_S, self.transport.close)

    def _drop_caller(self) -> None:
        """Close a connection whose caller left before its request was read."""
        self.guard.record_refusal(RefusalCause.LEFT)
        self._is_rejected = True
        self._end_cycle()
        self.transport.close()

    def _end_cycle(self) -> bool:
        """Let the application know that the caller is gone; return whether it has answered."""
        cycle, self._open_cycle = self._open_cycle, None
        if cycle is None:
            return not self._message.is_in_headers
        cycle.disconnected = True
        cycle.body = bytearray()
        cycle.message_event.set()
        return cycle.response_started

    def _ignore(self, nbytes: int) -> None:
        self._lingered_bytes += nbytes
        if self._lingered_bytes > MAX_LINGER_BYTES:
            self.flow.hold()
