"""Keep an instance from asking many peers for the same documents."""

ASK_AGAIN_MS = 300.0
"""Time after which questions count as lost; a megabyte takes some tens of milliseconds."""

MOST_AT_ONCE = 16


class QuestionGate:
    """Bound the questions for documents that are open at once.

    Load pattern: a change reaches an instance by many heartbeats and announcements at once.
    Without this it would ask each sender, and be sent the same large documents each time.
    Where messages are lost, one question at a time is too few (seven of fifteen changes came
    late with half of the messages lost): each time that all were lost, twice as many are
    allowed.
    """

    __slots__ = ("_allowed", "_asked", "_since_ms", "_wanted")

    def __init__(self) -> None:
        self._allowed = 1
        self._asked = 0
        self._since_ms: float | None = None
        self._wanted = 0

    def may_ask(self, own_revision: int, wanted_revision: int, now_ms: float) -> bool:
        """Return whether to ask for documents up to a revision, and note the question."""
        if own_revision >= self._wanted:
            self._allowed, self._since_ms = 1, None
        self._wanted = max(self._wanted, wanted_revision)
        if self._since_ms is None or now_ms - self._since_ms >= ASK_AGAIN_MS:
            if self._since_ms is not None:
                self._allowed = min(MOST_AT_ONCE, 2 * self._allowed)
            self._since_ms, self._asked = now_ms, 0
        if self._asked >= self._allowed:
            return False
        self._asked += 1
        return True
