"""Write log lines to a descriptor without ever waiting for its reader."""

import logging
import os

MOST_PENDING_BYTES = 65_536
"""A pipe holds as much; a reader that is further behind gets a count of what it missed."""


class QueuedOutput(logging.Handler):
    """Write what the descriptor takes now, keep a little, and drop and count the rest.

    Failure: the reader of a pipe stops. With a blocking write the loop would stop with it,
    and every caller would wait for the log.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self.dropped_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it."""
        try:
            line = self.format(record).encode() + b"\n"
        except (TypeError, ValueError):
            self.handleError(record)
            return
        if len(self._pending) + len(line) > MOST_PENDING_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines and not self._pending:
            line += b'{"event":"lines_dropped","count":%d}\n' % self.dropped_lines
            self.dropped_lines = 0
        self._pending += line
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # Nobody reads any more, and there is nowhere else to say so.
                self.dropped_lines += self._pending.count(b"\n")
                self._pending = b""
                return
            self._pending = self._pending[written:]
