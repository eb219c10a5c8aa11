"""Parse callers' requests piece by piece, one at a time."""

from asyncio import BufferedProtocol

from httptools import HttpParserError, HttpParserUpgrade
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from geraniumlead.caller_load import RefusalCause
from geraniumlead_server.caller_flow import CallerFlow
from geraniumlead_server.caller_guard import CallerGuard
from geraniumlead_server.head_judgement import Refused
from geraniumlead_server.received_bytes import ReceivedBytes
from geraniumlead_server.received_message import ReceivedMessage, declared_length

MAX_HEADER_BYTES = 16_384

FREE_UNITS = 256
"""Work on one request without waiting for a turn: some 200 fields, or 100 KB in large pieces."""

TURN_UNITS = 256
READ_UNITS = 24
PIECE_UNITS = 4
"""Work of one read and of one call of the parser; each field and each piece of a body is 1."""


class PiecewiseProtocol(HttpToolsProtocol, BufferedProtocol):
    """A caller's connection whose requests are parsed one by one, and large ones in turns.

    The next request is left unparsed until the answer is sent and read. A subclass decides what
    becomes of a request that is being received, or is whole.
    """

    guard: CallerGuard
    flow: CallerFlow

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self._received = ReceivedBytes()
        self._message = ReceivedMessage()
        self._piece_bytes = 0
        self._is_rejected = False
        self._is_body_unparsed = False
        self._has_turn = False
        self._open_cycle: RequestResponseCycle | None = None

    @property
    def max_header_bytes(self) -> int:
        """Return the maximum size of one message's headers."""
        return MAX_HEADER_BYTES

    @property
    def max_body_bytes(self) -> int | None:
        """Return the maximum size of a body; None if the application limits it."""
        return None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of all connections; it is parsed or copied before the next read."""
        return self.guard.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read, or leave it for later."""
        if self._is_rejected:
            self._ignore(nbytes)
            return
        self._received.append(bytes(self.guard.buffer[:nbytes]))
        self._message.units += READ_UNITS
        if self._has_turn:
            self._has_turn = False
            self._parse(TURN_UNITS)
        else:
            self._parse(FREE_UNITS - self._message.message_units)

    def take_turn(self) -> int:
        """Parse a part of a large request, or read more of it; return the units of work."""
        begin_units = self._message.units
        if self._received:
            self._parse(TURN_UNITS)
        else:
            self._has_turn = True
            self.flow.release()
        return max(READ_UNITS, self._message.units - begin_units)

    def on_message_begin(self) -> None:
        """Begin to count anew."""
        self._message.begin()
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a field; those behind a body are not part of the head, and are dropped."""
        self._message.add_field(name, value)
        if self._message.is_in_headers:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Record the size of the head, and what is to come."""
        super().on_headers_complete()
        self._message.end_head(self._piece_bytes, declared_length(self.headers))
        self._open_cycle = self.cycle

    def on_body(self, body: bytes) -> None:
        """Count a piece of the body."""
        self._message.add_body(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Stop the timer until the next message begins; the application has to wait.

        A request that asks for another protocol is complete for the parser before its body, which
        would be taken for the next request.
        """
        if self._message.body_left_bytes:
            self._is_body_unparsed = True
            return
        self._is_body_unparsed = False
        self._message.end()
        self._end_receiving()

    def _complete_request(self) -> None:
        """Hand a whole request to the application."""
        super().on_message_complete()

    @property
    def _is_blocked(self) -> bool:
        """Return whether the next request has to wait for an answer to be sent and read."""
        if self._message.is_in_message:
            return False
        return self._open_cycle is not None or self.flow.write_paused

    def _go_on(self) -> None:
        if self._received and not self._is_blocked and not self.transport.is_closing():
            self.guard.await_turn(self)

    def _parse(self, units: int) -> None:
        """Parse until the units of work are done, and decide how to go on."""
        end_units = self._message.units + units
        while self._received and self._message.units < end_units and not self._is_blocked:
            self._unset_keepalive_if_required()
            self._parse_piece(self._received.take(self._message.body_left_bytes))
            if self._is_rejected or self.transport.is_closing():
                return
            if self._open_cycle is not None and not self._message.is_in_message:
                self._begin_running()
        if not self._is_rejected:
            self._settle()

    def _parse_piece(self, piece: bytes) -> None:
        message = self._message
        message.units += PIECE_UNITS
        message.is_in_message = True
        self._piece_bytes = len(piece)
        if not self._feed(piece):
            self._refuse(Refused(400, RefusalCause.MALFORMED))
            return
        if message.is_in_headers and message.is_in_message:
            message.header_bytes += len(piece)
        max_body_bytes = self.max_body_bytes
        if message.header_bytes > self.max_header_bytes:
            self._refuse(Refused(431, RefusalCause.HEAD_TOO_LARGE))
        elif max_body_bytes is not None and message.known_body_bytes > max_body_bytes:
            self._refuse(Refused(413, RefusalCause.BODY_TOO_LARGE))

    def _feed(self, piece: bytes) -> bool:
        """Pass a piece to the parser; return whether it is HTTP that can be read on."""
        if self._is_body_unparsed:
            self.on_body(piece)
            if not self._message.body_left_bytes:
                self.on_message_complete()
            return True
        try:
            self.parser.feed_data(piece)
        except HttpParserUpgrade:
            # Nothing is upgraded: the request is handled as any other. Only the parser could tell
            # where a body in chunks ends, and it does not read one.
            return not any(name == b"transfer-encoding" for name, _ in self.headers)
        except HttpParserError:
            return False
        return True

    def _settle(self) -> None:
        """Read on, wait for a turn, or wait for an answer."""
        if self._message.is_in_message:
            self._begin_receiving()
            if self._is_rejected:
                return
        is_large = self._message.is_in_message and self._message.message_units >= FREE_UNITS
        if self._is_blocked and self._received:
            self.flow.hold()
        elif self._received or is_large:
            self.flow.hold()
            self.guard.await_turn(self)
        else:
            self.flow.release()

    def _begin_receiving(self) -> None:
        """Decide on a request of which a part was received."""
        raise NotImplementedError

    def _end_receiving(self) -> None:
        """Take note that a request is whole."""
        raise NotImplementedError

    def _begin_running(self) -> None:
        """Decide on a whole request."""
        raise NotImplementedError

    def _refuse(self, refused: Refused) -> None:
        """Answer the request that is being received, and close its connection."""
        raise NotImplementedError

    def _ignore(self, nbytes: int) -> None:
        """Drop what was read of a connection that is rejected."""
        raise NotImplementedError
