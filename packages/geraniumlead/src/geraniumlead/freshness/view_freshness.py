from random import Random

SETTLE_MS = 250.0
"""Time that probed peers have to answer once one source has confirmed the view: ten times the
slowest round trip between data centres, and short compared with how long callers wait."""

START_SETTLE_MS = 1_000.0
"""The same at process start, when connections to the peers must be opened first."""

ISOLATION_TIMEOUT_MS = 2_000.0
"""Time after which an instance without any reply serves with its unconfirmed view."""

ROUND_INTERVAL_MS = 250.0
"""Time between two rounds of probes, which are repeated as probes and replies may be lost."""

ISOLATED_ROUND_INTERVAL_MS = 2_000.0
"""Time between two rounds while the instance serves with an unconfirmed view."""

NONCE_BITS = 48


class ViewFreshness:
    """Decides whether new work may be sent based on the current view.

    The view is confirmed, being confirmed, or used without confirmation.

    Load pattern: a process is paused for seconds (a paused virtual machine, a stopped process)
    and resumes with requests and timers that are due. Without this check it would immediately
    send by its old view: to a data centre that was taken out, to an upstream that is leaving, or
    to a cold upstream whose slot another owner now holds. A pause is detected by a gap between two
    calls of ``detect_pause`` that is far longer than the heartbeat interval. Only responses that
    were requested after the process resumed confirm the view: data that the sockets buffered
    during the pause may be as old as the pause itself, so probes carry a nonce and reads a number.

    The same applies at process start, where the platform's first response may be stale.
    """

    __slots__ = (
        "_has_fresh_peer",
        "_has_platform_read",
        "_has_probed",
        "_highest_revision",
        "_last_ms",
        "_pause_gap_ms",
        "_probed_peers",
        "_random",
        "_replied_peers",
        "_settle_ms",
        "is_confirmed",
        "is_isolated",
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
        return self.is_confirmed or self.is_isolated

    def detect_pause(self, now_ms: float) -> bool:
        """Return whether the process was paused since the last call; if so, unconfirm the view."""
        gap_ms, self._last_ms = now_ms - self._last_ms, now_ms
        if gap_ms <= self._pause_gap_ms:
            return False
        self._begin(now_ms, SETTLE_MS)
        return True

    def record_probes(self, peer_ids: list[str]) -> None:
        """Record the peers, from a published list, to which this round's probes were sent."""
        self._has_probed = True
        self._probed_peers.update(peer_ids)

    def record_reply(self, sender_id: str, nonce: int, revision: int, is_fresh: bool) -> bool:
        """Record the reply to a probe.

        Return False if the probe was sent before the last pause or the view is confirmed.
        """
        if nonce != self.nonce or self.is_confirmed:
            return False
        # A peer whose own view is unconfirmed confirms nothing, but its revision may be higher.
        self._replied_peers.add(sender_id)
        self._has_fresh_peer = self._has_fresh_peer or is_fresh
        self._highest_revision = max(self._highest_revision, revision)
        return True

    def record_read(self, number: int, revision: int, own_revision: int) -> None:
        """Record a read of the platform; a revision below this instance's confirms nothing."""
        if number == self.read_number and revision >= own_revision:
            self._has_platform_read = True
        if not self._has_probed:
            # The first documents list the peers, so they are probed now and not one round later.
            self.next_round_ms = float("-inf")

    def begin_round_if_due(self, now_ms: float) -> bool:
        """Return whether to probe peers now; if so, schedule the next round."""
        if self.is_confirmed or now_ms < self.next_round_ms:
            return False
        self.rounds += 1
        self.next_round_ms = now_ms + (
            ISOLATED_ROUND_INTERVAL_MS if self.is_isolated else ROUND_INTERVAL_MS
        )
        return True

    def settle(self, own_revision: int, now_ms: float) -> bool:
        """Update the state; return True if new work that was held until now may be sent."""
        if self.is_confirmed or own_revision == 0:
            return False
        held = not self.may_send
        if self._is_settled(own_revision, now_ms):
            self.is_confirmed, self.is_isolated = True, False
            return held
        if (
            held
            and now_ms - self.unconfirmed_since_ms >= ISOLATION_TIMEOUT_MS
            and not self._has_source()
        ):
            # Isolated from peers and the platform, with no reply to wait for. Refusing all
            # requests would also lose those that this instance can still serve.
            self.is_isolated = True
            return True
        return False

    def next_wake_ms(self) -> float | None:
        """Return when the next round is due, or None if the view is confirmed."""
        return None if self.is_confirmed else self.next_round_ms

    def _has_source(self) -> bool:
        return self._has_fresh_peer or self._has_platform_read

    def _is_settled(self, own_revision: int, now_ms: float) -> bool:
        if not self._has_source() or own_revision < self._highest_revision:
            return False
        # Before any peer was probed, missing replies do not count as agreement: a new instance
        # would become ready with a stale platform's documents, one round before its peers
        # report newer ones.
        all_replied = self._has_probed and self._probed_peers <= self._replied_peers
        return all_replied or now_ms - self.unconfirmed_since_ms >= self._settle_ms

    def _begin(self, now_ms: float, settle_ms: float) -> None:
        self.is_confirmed, self.is_isolated = False, False
        self.unconfirmed_since_ms = now_ms
        self.next_round_ms = now_ms
        self.rounds = 0
        self.read_number += 1
        self.nonce = self._random.getrandbits(NONCE_BITS) or 1
        self._settle_ms = settle_ms
        self._has_probed = False
        self._probed_peers: set[str] = set()
        self._replied_peers: set[str] = set()
        self._has_fresh_peer = False
        self._has_platform_read = False
        self._highest_revision = 0
