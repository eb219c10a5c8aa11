"""Pause the reading of a caller's connection for several reasons at once."""

from asyncio import Transport

from uvicorn.protocols.http.flow_control import FlowControl


class CallerFlow(FlowControl):
    """Reads only while neither uvicorn nor the limits on large requests have paused it.

    uvicorn resumes reading whenever the application waits for more of a request.
    """

    def __init__(self, transport: Transport) -> None:
        super().__init__(transport)
        self._is_held = False

    def pause_reading(self) -> None:
        """Pause for uvicorn: the application has not taken what was received."""
        if not self._is_held:
            super().pause_reading()
        self.read_paused = True

    def resume_reading(self) -> None:
        """Resume for uvicorn, unless reading is held."""
        if not self._is_held:
            super().resume_reading()
        self.read_paused = False

    def hold(self) -> None:
        """Stop reading until ``release``, whatever the application waits for."""
        if not self._is_held:
            self._is_held = True
            if not self.read_paused:
                self._transport.pause_reading()

    def release(self) -> None:
        """Read again, unless uvicorn has paused it."""
        if self._is_held:
            self._is_held = False
            if not self.read_paused:
                self._transport.resume_reading()
