"""Define what one client that doesn't behave sends."""

from dataclasses import dataclass
from enum import Enum


class Ending(Enum):
    """What a client does once it has sent everything.

    ``ANSWER`` reads the head of one answer and closes; ``STAY`` reads until the instance closes;
    ``IGNORE`` reads nothing and stays; ``LEAVE`` resets the connection at once.
    """

    ANSWER = "answer"
    STAY = "stay"
    IGNORE = "ignore"
    LEAVE = "leave"


@dataclass(frozen=True, slots=True)
class ClientScript:
    """What is sent on one connection: a start, then pieces with pauses, then an end.

    ``pieces`` is the number of times ``piece`` is sent; None repeats it without end.
    """

    start: bytes
    ending: Ending = Ending.ANSWER
    piece: bytes = b""
    pieces: int | None = 0
    pause_s: float = 0.0
    end: bytes = b""
