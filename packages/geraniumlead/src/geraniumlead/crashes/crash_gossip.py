from collections import OrderedDict
from collections.abc import Sequence
from random import Random

NEVER_MS = float("inf")

ROUND_MS = 100.0
"""Time between two rounds: a fleet of 2,500 is told in about five."""

ROUNDS = 2
"""Number of rounds in which a piece of news is sent on."""

PEERS_PER_ROUND = 6
"""Number of peers that get the news of one round: all of them in a fleet of seven."""

MAX_NEWS_PER_ROUND = 3
"""Maximum number of requests told of in one round: 18 reports of some 70 bytes each 100 ms are
12 KB/s, and the rest waits."""

MAX_WAITING_NEWS = 200
"""Maximum number of requests to tell of, the latest ones; a request that comes again is news
again."""


class CrashGossip:
    """Chooses when which peers are told of which requests.

    An epidemic broadcast: what is new to an instance it tells to a few random peers, in a few
    rounds, and each of them does the same.

    Load pattern: in a fleet of hundreds the next try of a request comes to any instance, a fraction
    of a second later. Telling all of them directly would take one message for each instance from
    one machine; a broadcast takes a few from each, whatever the size of the fleet. Instances that
    are missed, cut off or not yet started are told when hellos show that they don't know it.
    """

    __slots__ = ("_next_round_ms", "_random", "_rounds_left")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._rounds_left: OrderedDict[int, int] = OrderedDict()
        self._next_round_ms = float("-inf")

    def add(self, fingerprint: int) -> None:
        """Add a request of which something new is known; it is told in the next rounds."""
        self._rounds_left[fingerprint] = ROUNDS
        self._rounds_left.move_to_end(fingerprint)
        if len(self._rounds_left) > MAX_WAITING_NEWS:
            self._rounds_left.popitem(last=False)

    def next_wake_ms(self) -> float:
        """Return when ``pop_round`` has to be called."""
        return self._next_round_ms if self._rounds_left else NEVER_MS

    def pop_round(self, peer_ids: Sequence[str], now_ms: float) -> tuple[list[str], list[int]]:
        """Return the peers to tell now, and the requests to tell them of, the latest news first."""
        if now_ms < self._next_round_ms or not self._rounds_left:
            return [], []
        self._next_round_ms = now_ms + ROUND_MS
        told = list(reversed(self._rounds_left))[:MAX_NEWS_PER_ROUND]
        for fingerprint in told:
            self._rounds_left[fingerprint] -= 1
            if not self._rounds_left[fingerprint]:
                del self._rounds_left[fingerprint]
        count = min(PEERS_PER_ROUND, len(peer_ids))
        return self._random.sample(list(peer_ids), count), told
