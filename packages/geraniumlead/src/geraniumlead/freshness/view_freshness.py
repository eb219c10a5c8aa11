"""Decide whether the view is confirmed, being confirmed, or acted on unconfirmed."""

from random import Random

SETTLE_MS = 250.0
"""Time for asked peers to answer once one source confirmed the view; ten times the slowest
round trip between today's data centres, and short against a caller's patience."""

START_SETTLE_MS = 1_000.0
"""The same at the start of the process, when connections to the peers must be opened first."""

ALONE_MS = 2_000.0
"""Time after which an instance that nobody answers serves on with the view it has."""

ROUND_MS = 250.0
"""Time between two rounds of probes; probes and replies may be lost."""

ALONE_ROUND_MS = 2_000.0
"""Time between two rounds once the instance serves on unconfirmed."""

NONCE_BITS = 48


class ViewFreshness:
    """Tell whether new work may be sent on the ground of the view that is held.

    Load pattern: a process is frozen for seconds (a paused virtual machine, a stopped
    process) and wakes with requests and timers that are due. Without this it would send at
    once by its old view: to a data centre that was taken out, to an upstream that leaves,
    or to a cold upstream whose slot another owner holds by now. A gap between two calls of
    ``note_time`` that is far above the heartbeat's timer shows the pause. Only answers that
    were asked for after the wake confirm the view: what the sockets buffered during the
    pause may be as old as the pause itself, so probes carry a nonce and reads a number.

    The same rule holds at the start, where the platform's first answer may be stale.
    """

    __slots__ = (
        "_asked",
        "_has_asked",
        "_heard_fresh",
        "_highest_revision",
        "_last_ms",
        "_pause_gap_ms",
        "_platform_heard",
        "_random",
        "_replied",
        "_settle_ms",
        "is_alone",
        "is_confirmed",
        "next_round_ms",
        "nonce",
        "read_number",
        "rounds",
        "unconfirmed_since_ms",
    )

    def __init__(self, pause_gap_ms: float, random: Random, now_ms: float) -> None:
        self._pause_gap_ms = pause_gap_ms
        self._random = random
        self._last_ms = now_ms
        self.read_number = 0
        self.is_confirmed = False
        self._begin(now_ms, START_SETTLE_MS)

    @property
    def may_send(self) -> bool:
        """Return whether new work may be sent to upstreams and owners."""
        return self.is_confirmed or self.is_alone

    def note_time(self, now_ms: float) -> bool:
        """Note that the process runs; True when it had been paused since the last call."""
        gap_ms, self._last_ms = now_ms - self._last_ms, now_ms
        if gap_ms <= self._pause_gap_ms:
            return False
        self._begin(now_ms, SETTLE_MS)
        return True

    def note_asked(self, peer_ids: list[str]) -> None:
        """Note whom this round's probes were sent to, out of a published list."""
        self._has_asked = True
        self._asked.update(peer_ids)

    def take_reply(self, sender_id: str, nonce: int, revision: int, is_fresh: bool) -> bool:
        """Take in a probe's answer; False for one that was asked for before the wake."""
        if nonce != self.nonce or self.is_confirmed:
            return False
        # A peer that woke up itself confirms nothing, but a higher revision is news.
        self._replied.add(sender_id)
        self._heard_fresh = self._heard_fresh or is_fresh
        self._highest_revision = max(self._highest_revision, revision)
        return True

    def take_read(self, number: int, revision: int, own_revision: int) -> None:
        """Take in a read of the platform; one that is behind this instance confirms nothing."""
        if number == self.read_number and revision >= own_revision:
            self._platform_heard = True
        if not self._has_asked:
            # The first documents name the peers: ask them now, not a round later.
            self.next_round_ms = float("-inf")

    def is_round_due(self, now_ms: float) -> bool:
        """Return whether peers should be asked now, and plan the next round."""
        if self.is_confirmed or now_ms < self.next_round_ms:
            return False
        self.rounds += 1
        self.next_round_ms = now_ms + (ALONE_ROUND_MS if self.is_alone else ROUND_MS)
        return True

    def settle(self, own_revision: int, now_ms: float) -> bool:
        """Decide; True when new work may be sent from now on, having been held until now."""
        if self.is_confirmed or own_revision == 0:
            return False
        held = not self.may_send
        if self._is_settled(own_revision, now_ms):
            self.is_confirmed, self.is_alone = True, False
            return held
        if held and now_ms - self.unconfirmed_since_ms >= ALONE_MS and not self._has_source():
            # Cut off alone: to refuse everything would cost what the cut left over, and
            # no answer to wait for is in sight.
            self.is_alone = True
            return True
        return False

    def next_wake_ms(self) -> float | None:
        """Return when the next round is due; None when the view is confirmed."""
        return None if self.is_confirmed else self.next_round_ms

    def _has_source(self) -> bool:
        return self._heard_fresh or self._platform_heard

    def _is_settled(self, own_revision: int, now_ms: float) -> bool:
        if not self._has_source() or own_revision < self._highest_revision:
            return False
        # Before anybody was asked, nobody's silence counts as agreement: a new instance would
        # turn ready with what a stale platform told it, one round before it learns better.
        all_replied = self._has_asked and self._asked <= self._replied
        return all_replied or now_ms - self.unconfirmed_since_ms >= self._settle_ms

    def _begin(self, now_ms: float, settle_ms: float) -> None:
        self.is_confirmed, self.is_alone = False, False
        self.unconfirmed_since_ms = now_ms
        self.next_round_ms = now_ms
        self.rounds = 0
        self.read_number += 1
        self.nonce = self._random.getrandbits(NONCE_BITS) or 1
        self._settle_ms = settle_ms
        self._has_asked = False
        self._asked: set[str] = set()
        self._replied: set[str] = set()
        self._heard_fresh = False
        self._platform_heard = False
        self._highest_revision = 0
