"""Keep an instance from asking several peers for the same documents."""

ASK_AGAIN_MS = 300.0
"""Time after which a question counts as lost; a megabyte takes some tens of milliseconds."""


class QuestionGate:
    """Remember the last question for documents.

    Load pattern: a change reaches an instance by many heartbeats and announcements at once.
    Without this it would ask each sender, and be sent the same large documents each time.
    """

    __slots__ = ("_asked_ms", "_revision")

    def __init__(self) -> None:
        self._asked_ms = float("-inf")
        self._revision = 0

    def may_ask(self, revision: int, now_ms: float) -> bool:
        """Return whether to ask for documents up to a revision, and note the question."""
        is_open = now_ms - self._asked_ms < ASK_AGAIN_MS
        if is_open and revision <= self._revision:
            return False
        self._asked_ms, self._revision = now_ms, revision
        return True
