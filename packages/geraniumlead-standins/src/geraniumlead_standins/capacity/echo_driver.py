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
    """Drives one instance in memory; its upstreams and peers answer without delay.

    Only ``advance`` changes ``now_ms`` here. It also delivers heartbeats of all peers, so that
    the instance considers them alive.
    """

    def __init__(self, instance: Instance, peer_ids: list[str]) -> None:
        self.instance = instance
        self.now_ms = 0.0
        self.answers: list[AnswerCaller] = []
        self._peer_ids = peer_ids
        self._heartbeat_number = 0

    def settle(self) -> None:
        """Advance past the list lag, so that the view is confirmed and cold slots may be used."""
        while self.now_ms < SETTLE_MS:
            self.advance(STEP_MS)

    def advance(self, step_ms: float) -> None:
        """Advance the time, deliver one heartbeat of every peer, and fire the timer."""
        self.now_ms += step_ms
        self._heartbeat_number += 1
        for peer_id in self._peer_ids:
            heartbeat = Heartbeat(f"life-{peer_id}", "noord", self._heartbeat_number, 1, True)
            self.deliver(PeerMessageReceived(peer_id, heartbeat))
        self.deliver(TimerFired())

    def deliver(self, event: Event) -> None:
        """Deliver an event, and then the answers to all actions that follow from it."""
        pending: list[Action] = self.instance.handle(event, self.now_ms)
        while pending:
            next_actions: list[Action] = []
            for action in pending:
                reply = self._answer(action)
                if reply is not None:
                    next_actions += self.instance.handle(reply, self.now_ms)
                    # As in a daemon, which calls this after every event to set its only timer.
                    self.instance.next_wake_ms()
            pending = next_actions

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
