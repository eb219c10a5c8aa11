"""Answer everything that an instance asks, at once and in memory."""

from geraniumlead.actions import Action, AnswerCaller, CallUpstream, SendToPeer
from geraniumlead.events import Event, PeerMessageReceived, TimerFired, UpstreamAnswered
from geraniumlead.instance import Instance
from geraniumlead.peer_messages import (
    Heartbeat,
    Probe,
    ProbeReply,
    SubqueryBatch,
    SubqueryResult,
    SubqueryResultBatch,
)
from geraniumlead.upstreams import Records

RECORDS = b'[{"id":"a","hours":1.5}]'
SETTLE_MS = 8_000.0
STEP_MS = 250.0


class EchoDriver:
    """Drive one instance whose upstreams and peers answer in no time.

    ``now_ms`` moves only by ``advance``; peers' heartbeats come with it, so that the
    instance keeps them for living.
    """

    def __init__(self, instance: Instance, peer_ids: list[str]) -> None:
        self.instance = instance
        self.now_ms = 0.0
        self.answers: list[AnswerCaller] = []
        self._peer_ids = peer_ids
        self._beats = 0

    def settle(self) -> None:
        """Let the list lag pass, so that the view is confirmed and cold slots may be used."""
        while self.now_ms < SETTLE_MS:
            self.advance(STEP_MS)

    def advance(self, step_ms: float) -> None:
        """Let time pass; every peer beats once."""
        self.now_ms += step_ms
        self._beats += 1
        for peer_id in self._peer_ids:
            beat = Heartbeat(f"life-{peer_id}", "noord", self._beats, 1, True)
            self.feed(PeerMessageReceived(peer_id, beat))
        self.feed(TimerFired())

    def feed(self, event: Event) -> None:
        """Pass an event in, and then everything that follows from it."""
        pending: list[Action] = self.instance.handle(event, self.now_ms)
        while pending:
            followed: list[Action] = []
            for action in pending:
                found = self._answer(action)
                if found is not None:
                    followed += self.instance.handle(found, self.now_ms)
                    # A daemon asks after every event, to arm its one timer.
                    self.instance.next_wake_ms()
            pending = followed

    def _answer(self, action: Action) -> Event | None:
        match action:
            case AnswerCaller():
                self.answers.append(action)
            case CallUpstream(subquery=subquery):
                records = Records(subquery.index_version, subquery.shard, RECORDS)
                return UpstreamAnswered(action.call_id, records)
            case SendToPeer(instance_id=peer_id, message=Probe(nonce=nonce)):
                return PeerMessageReceived(peer_id, ProbeReply(nonce, 1, True))
            case SendToPeer(instance_id=peer_id, message=SubqueryBatch(subqueries=subqueries)):
                results = tuple(
                    SubqueryResult(
                        subquery.call_id, Records(subquery.index_version, subquery.shard, RECORDS)
                    )
                    for subquery in subqueries
                )
                return PeerMessageReceived(peer_id, SubqueryResultBatch(results))
        return None
