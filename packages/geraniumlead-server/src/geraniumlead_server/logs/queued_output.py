"""Write log lines to a file descriptor without blocking."""

import logging
import os

MAX_PENDING_BYTES = 65_536
"""The capacity of a pipe. Lines beyond it are dropped, and the reader gets their number."""


class QueuedOutput(logging.Handler):
    """A handler that writes without blocking, and drops and counts lines beyond a small buffer.

    Failure: the reader of a pipe stops. A blocking write would block the event loop, and
    every caller would wait for the log.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self.dropped_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        try:
            line = self.format(record).encode() + b"\n"
        except (TypeError, ValueError):
            self.handleError(record)
            return
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines and not self._pending:
            line += b'{"event":"lines_dropped","count":%d}\n' % self.dropped_lines
            self.dropped_lines = 0
        self._pending += line
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # The reader has closed the pipe, and there is no other place to report it.
                self.dropped_lines += self._pending.count(b"\n")
                self._pending = b""
                return
            self._pending = self._pending[written:]
