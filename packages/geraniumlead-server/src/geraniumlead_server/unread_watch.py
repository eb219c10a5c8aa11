"""Watch whether a caller reads an answer that does not fit into the network."""

from asyncio import TimerHandle, Transport, get_running_loop
from collections.abc import Callable


class UnreadWatch:
    """Calls ``give_up`` once a caller has taken nothing of its answer for a whole interval.

    ``report`` gets the bytes that are still unread at the end of each other interval.
    """

    __slots__ = ("_give_up", "_report", "_timer", "_transport", "_unread_bytes")

    def __init__(
        self, transport: Transport, report: Callable[[int], None], give_up: Callable[[], None]
    ) -> None:
        self._transport = transport
        self._report = report
        self._give_up = give_up
        self._unread_bytes = 0
        self._timer: TimerHandle | None = None

    def start(self, interval_s: float) -> None:
        """Watch from now on, with checks at an interval in seconds."""
        self._unread_bytes = self._transport.get_write_buffer_size()
        self._timer = get_running_loop().call_later(interval_s, self._check, interval_s)

    def stop(self) -> None:
        """Stop, because the answer was read or the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self, interval_s: float) -> None:
        unread_bytes = self._transport.get_write_buffer_size()
        if unread_bytes >= self._unread_bytes:
            self._give_up()
            return
        self.start(interval_s)
        self._report(unread_bytes)
