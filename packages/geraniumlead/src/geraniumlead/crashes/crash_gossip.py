from collections import OrderedDict
from collections.abc import Mapping, Sequence
from random import Random

from geraniumlead.crashes.news import News, NewsRound

NEVER_MS = float("inf")

ROUND_MS = 250.0
"""Time between two rounds: a region of hundreds is told in three or four. News that comes meanwhile
shares their messages, whose number costs more than their bytes."""

ROUNDS = 2
"""Number of rounds in which a piece of news is sent on."""

NEAR_PEERS_PER_ROUND = 4
"""Number of peers of the same region that get the news of one round."""

FAR_PEERS_PER_REGION = 2
"""Number of peers in each other region that get what is new to the whole fleet, in one round."""

MAX_NEWS_PER_ROUND = 8
"""Maximum number of requests told of in one round: 32 reports of some hundred bytes to the region
each 250 ms, 13 KB/s, and the rest waits."""

MAX_WAITING_NEWS = 200
"""Maximum number of requests to tell of, the latest ones; a request that comes again is news
again."""


class CrashGossip:
    """Chooses when which peers are told of which requests.

    An epidemic broadcast in each region: what is new to an instance it tells to a few peers of its
    region, in a few rounds, and each of them does the same. Only who has seen it itself also tells
    some peers in each other region, since bytes between regions are dear: if all did, each piece of
    news crossed regions hundreds of times in a fleet of sixty.

    Load pattern: in a fleet of hundreds the next try of a request comes to any instance, a fraction
    of a second later. Telling all of them directly would take one message for each instance from
    one machine; a broadcast takes a few from each, whatever the size of the fleet. Instances that
    are missed, cut off or not yet started are told when hellos show that they don't know it.
    """

    __slots__ = ("_next_round_ms", "_own", "_random", "_rounds_left")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._rounds_left: OrderedDict[int, int] = OrderedDict()
        self._own: set[int] = set()
        self._next_round_ms = float("-inf")

    def add(self, news: News) -> None:
        """Add a request of which something new is known; it is told in the next rounds."""
        if news.is_own:
            self._own.add(news.fingerprint)
        self._rounds_left[news.fingerprint] = ROUNDS
        self._rounds_left.move_to_end(news.fingerprint)
        if len(self._rounds_left) > MAX_WAITING_NEWS:
            oldest, _ = self._rounds_left.popitem(last=False)
            self._own.discard(oldest)

    def next_wake_ms(self) -> float:
        """Return when ``pop_rounds`` has to be called."""
        return self._next_round_ms if self._rounds_left else NEVER_MS

    def pop_rounds(
        self, near_ids: Sequence[str], far_ids_by_region: Mapping[str, Sequence[str]], now_ms: float
    ) -> list[NewsRound]:
        """Return which peers of the own region and of the others to tell now of which requests."""
        if now_ms < self._next_round_ms or not self._rounds_left:
            return []
        self._next_round_ms = now_ms + ROUND_MS
        told = self._pop_latest()
        own = tuple(fingerprint for fingerprint in told if fingerprint in self._own)
        self._own.difference_update(own)
        far_ids = tuple(
            peer_id
            for peer_ids in far_ids_by_region.values()
            for peer_id in self._sample(peer_ids, FAR_PEERS_PER_REGION)
        )
        rounds = (
            NewsRound(self._sample(near_ids, NEAR_PEERS_PER_ROUND), told),
            NewsRound(far_ids, own),
        )
        return [found for found in rounds if found.peer_ids and found.fingerprints]

    def _pop_latest(self) -> tuple[int, ...]:
        """Return the latest news, and remove what was told in enough rounds."""
        told = tuple(reversed(self._rounds_left))[:MAX_NEWS_PER_ROUND]
        for fingerprint in told:
            self._rounds_left[fingerprint] -= 1
            if not self._rounds_left[fingerprint]:
                del self._rounds_left[fingerprint]
        return told

    def _sample(self, peer_ids: Sequence[str], count: int) -> tuple[str, ...]:
        return tuple(self._random.sample(list(peer_ids), min(count, len(peer_ids))))
