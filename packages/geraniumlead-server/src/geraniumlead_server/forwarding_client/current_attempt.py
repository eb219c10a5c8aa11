from contextvars import ContextVar

from geraniumlead.forwarding import StartAttempt


class CurrentAttempt:
    """The attempt that a task sends, until it ends; aiohttp builds requests without a place for it.

    Failure: a pooled connection keeps the context of the task that opened it. If that held the
    attempt, each open connection would keep the body of its first request, and a crowd of large
    bodies would fill the memory for as long as connections are pooled.

    ``is_written`` is set once any byte of it may have been written.
    """

    __slots__ = ("action", "is_written")

    def __init__(self, action: StartAttempt) -> None:
        self.action: StartAttempt | None = action
        self.is_written = False

    def end(self) -> None:
        """Let go of the attempt."""
        self.action = None


CURRENT_ATTEMPT: ContextVar[CurrentAttempt] = ContextVar("current_attempt")
