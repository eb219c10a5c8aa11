"""Test shards that are delegated to a peer in their region, with two forwarders."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_fan_out,
    build_record,
    build_updates,
)
from core_tests.forwarding.instance_pair import FAR, InstancePair
from geraniumlead.forwarding import PeerMessageReceived, PossiblyExecuted
from geraniumlead.peering import (
    DelegatedReply,
    DelegatedRequest,
    DelegationAcknowledged,
    DelegationCancelled,
)
from geraniumlead.peering.known_peer import DELAY_SAMPLES

HIGH = bytes([9]) * 16


class TwoInstances(TestCase):
    """Two instances: one has no upstream of four shards in its region, the other is in theirs."""

    def setUp(self):
        pair = InstancePair()
        self.near, self.far = pair.near, pair.far
        self.run_both_until, self.deliver = pair.run_until, pair.deliver
        self.find_messages = pair.find_messages

    def test_far_shards_cost_one_message_and_the_reply_is_complete(self):
        (attempt,) = self.near.ask()
        self.assertEqual("shard-0", attempt.upstream.service)
        self.assertEqual(1, len(self.find_messages(self.near, DelegatedRequest)))
        self.deliver()
        self.assertEqual(4, len(self.far.started))
        for started in self.far.started:
            self.far.end(started, build_answer(HIGH, signature=started.upstream.service))
        self.deliver()
        self.near.end(attempt, build_answer(HIGH, signature="shard-0"))
        reply = self.near.replies[1]
        self.assertEqual({f"shard-{number}" for number in range(5)}, set(reply.signatures))
        self.assertEqual(3 * HIGH, reply.records)
        self.assertEqual(0, reply.missing)

    def test_shards_without_a_common_region_still_go_with_one_message_for_most(self):
        """Four shards are only in one other region, and one is only in a third region.

        If one peer had to serve all five, none would qualify, and each shard would be queried
        across the regions separately.
        """
        route = build_fan_out(shard_count=5)
        places = ["zuid-a", *["midden-a"] * 4]
        records = [
            build_record(f"only.{name}", name, data_centre=place)
            for name, place in zip(route.services(), places, strict=True)
        ]
        for harness in (self.near, self.far):
            harness.handle(build_updates(build_configuration(route, version=2), *records))
        self.run_both_until(self.near.now_ms + 1_500.0)
        (attempt,) = self.near.ask()
        self.assertEqual("only.shard-0", attempt.upstream.upstream_id)
        (outgoing,) = self.find_messages(self.near, DelegatedRequest)
        self.assertEqual(route.services()[1:], outgoing.message.shards)

    def test_a_subrequest_earns_extra_attempts_once_in_the_whole_fleet(self):
        """An instance delegates shards to a peer, and both keep a budget of extra attempts.

        If both counted a shard, it would earn budget twice, and when upstreams become slow the
        service would get more repeated requests than its limit.
        """
        self.near.ask()
        self.deliver()
        self.assertEqual([1] * 5, self.count_firsts())

    def count_firsts(self) -> list[int]:
        """Return how many first attempts both instances have counted, by shard."""
        budgets = [harness.forwarder._runner._tracker.budgets for harness in (self.near, self.far)]
        return [
            sum(found._budget_of(f"shard-{number}")._first for found in budgets)
            for number in range(5)
        ]

    def test_a_subrequest_that_a_peer_could_not_send_earns_extra_attempts_once(self):
        """Guards against a shard without upstreams at the peer that both instances count."""
        self.near.ask()
        for number in range(1, 5):
            view = self.far.forwarder.published._upstream_view
            view.remove(f"far.shard-{number}", self.far.now_ms)
        self.deliver()
        self.run_both_until(self.near.now_ms + 400.0)
        self.assertEqual([1] * 5, self.count_firsts())

    def test_a_silent_peer_is_replaced_before_the_goal(self):
        """The peer loses power, and no instance has noticed yet.

        It does not acknowledge the request. The shards are queried from here within a tenth of a
        second, and later queries do not wait for the peer again.
        """
        self.near.ask()
        started = self.near.run_until(self.near.now_ms + 150.0)
        services = {attempt.upstream.service for attempt in started}
        self.assertLessEqual({f"shard-{number}" for number in range(1, 5)}, services)
        self.near.outgoing.clear()
        self.assertEqual(5, len(self.near.ask(2)))

    def test_a_peer_whose_acknowledgement_would_be_too_late_gets_nothing(self):
        """The network delay to a peer has grown: its silence would be noticed after the goal.

        If the peer then fails, every request delegated to it is late; queried from here, a far
        shard costs one round trip.
        """
        peer = self.near.forwarder._peers.directory.peers[FAR]
        for _ in range(DELAY_SAMPLES):
            peer.record_delay(120.0)
        self.assertEqual(5, len(self.near.ask()))

    def test_a_peer_with_an_older_configuration_declines(self):
        newer = build_configuration(build_fan_out(shard_count=5), version=2)
        self.near.handle(build_updates(newer, is_snapshot=False))
        self.near.forwarder._peers.directory.peers[FAR].version = 2
        self.near.ask()
        self.deliver()
        self.assertEqual([], self.far.started)
        self.assertEqual(5, len(self.near.started))

    def test_a_caller_that_leaves_ends_the_work_at_the_peer(self):
        self.near.ask()
        self.deliver()
        self.near.leave(1)
        self.assertEqual(1, len(self.find_messages(self.near, DelegationCancelled)))
        self.deliver()
        self.assertEqual(4, len(self.far.cancelled))

    def test_shards_that_the_peer_did_not_get_are_counted_as_missing(self):
        (attempt,) = self.near.ask()
        self.near.end(attempt, build_answer(HIGH, signature="shard-0"))
        self.deliver()
        for started in self.far.started[:3]:
            self.far.end(started, build_answer(HIGH, signature=started.upstream.service))
        self.run_both_until(self.near.now_ms + 350.0)
        self.assertEqual(1, self.near.replies[1].missing)

    def test_a_late_shard_is_awaited_if_the_others_are_not_enough(self):
        """Two of five shards are late, and at the goal the others are not enough.

        The peer sends the answers it has and waits on. If it gave up, the caller would wait for
        both shards to start anew, or get nothing once the budget of extra attempts is spent.
        """
        route = build_fan_out(shard_count=5, min_share=0.8)
        records = [build_record("near", "shard-0")]
        records += [
            build_record(f"far.{name}", name, data_centre="midden-a") for name in route.services()
        ]
        for harness in (self.near, self.far):
            harness.handle(build_updates(build_configuration(route, version=2), *records))
        self.run_both_until(self.near.now_ms + 1_500.0)
        (attempt,) = self.near.ask()
        self.near.end(attempt, build_answer(HIGH, signature="shard-0"))
        self.deliver()
        for started in self.far.started[:2]:
            self.far.end(started, build_answer(HIGH, signature=started.upstream.service))
        self.run_both_until(self.near.now_ms + 400.0)
        self.assertEqual({}, self.near.replies)
        self.assertEqual([], self.far.cancelled)
        late = self.far.started[2]
        self.far.end(late, build_answer(HIGH, signature=late.upstream.service))
        self.far.end(self.far.started[3], PossiblyExecuted("reset"))
        self.deliver()
        self.assertEqual(1, self.near.replies[1].missing)
        self.assertEqual(4, len(set(self.near.replies[1].signatures)))

    def test_attempts_of_a_peer_count_against_the_upstreams_of_a_request(self):
        """A route allows one upstream for each shard, and the peer's attempt fails.

        Sent again from here, the request would run on two upstreams.
        """
        route = build_fan_out(shard_count=5, max_upstreams=1)
        records = [build_record("near", "shard-0")]
        for name in route.services():
            records += [
                build_record(f"far.{name}.{number}", name, data_centre="midden-a")
                for number in (0, 1)
            ]
        for harness in (self.near, self.far):
            harness.handle(build_updates(build_configuration(route, version=2), *records))
        self.run_both_until(self.near.now_ms + 1_500.0)
        self.near.ask()
        self.deliver()
        for started in list(self.far.started):
            self.far.end(started, PossiblyExecuted("reset"))
        self.deliver()
        self.run_both_until(self.near.now_ms + 900.0)
        self.assertEqual(1, len(self.near.started))

    def test_a_peer_that_dies_after_its_acknowledgement_is_replaced_at_the_goal(self):
        """The peer acknowledges the request and then loses power.

        Its reply never arrives. The caller still waits for a while, so the shards are queried from
        here.
        """
        self.near.ask()
        self.deliver()
        self.far.outgoing.clear()
        started = self.near.run_until(self.near.now_ms + 450.0)
        services = {attempt.upstream.service for attempt in started}
        self.assertLessEqual({f"shard-{number}" for number in range(1, 5)}, services)

    def test_a_query_that_is_late_already_waits_for_enough_shards(self):
        """A caller retries after its goal has passed.

        With a goal in the past the peer would reply at once, without any answers.
        """
        self.near.ask(1, wait_ms=1_000.0)
        self.deliver()
        self.near.ask(2, wait_ms=400.0)
        self.deliver()
        taken = [self.far.started[index] for index in range(4, 8)]
        self.assertEqual(8, len(self.far.started))
        self.assertEqual([], self.find_messages(self.far, DelegatedReply))
        for started in taken:
            self.far.end(started, build_answer(HIGH, signature=started.upstream.service))
        self.assertEqual(1, len(self.find_messages(self.far, DelegatedReply)))

    def test_a_stopping_peer_gets_nothing(self):
        self.far.record_actions(self.far.forwarder.stop(self.far.now_ms))
        self.deliver()
        self.assertEqual(5, len(self.near.ask()))

    def test_a_peer_that_has_just_started_gets_nothing(self):
        """The peer restarts, announces it, and opens its connections to all upstreams.

        Shards that are delegated to it in its first second would wait for its acknowledgement in
        vain.
        """
        directory = self.far.forwarder._peers.directory
        directory._incarnation += 1
        self.run_both_until(self.near.now_ms + 1_000.0)
        attempts = self.near.ask()
        self.assertEqual(5, len(attempts))
        for attempt in attempts:
            self.near.end(attempt, build_answer(HIGH, signature=attempt.upstream.service))
        self.run_both_until(self.near.now_ms + 1_100.0)
        self.assertEqual(1, len(self.near.ask(2)))

    def test_a_peer_that_receives_no_messages_gets_nothing(self):
        """Messages arrive from the peer, but not at it.

        Its hellos show that it is running; if their echo were ignored, each query would wait in
        vain.
        """
        for _ in range(6):
            self.near.run_until(self.near.now_ms + 1_000.0)
            self.near.outgoing.clear()
            self.far.run_until(self.far.now_ms + 1_000.0)
            messages, self.far.outgoing = self.far.outgoing, []
            for outgoing in messages:
                self.near.handle(PeerMessageReceived(FAR, outgoing.message))
        self.assertEqual(5, len(self.near.ask()))

    def test_a_duplicate_acknowledgement_or_reply_changes_nothing(self):
        self.near.ask()
        self.deliver()
        self.near.handle(PeerMessageReceived(FAR, DelegationAcknowledged(1)))
        self.near.handle(PeerMessageReceived(FAR, DelegatedReply(99, True)))
        self.assertEqual({}, self.near.replies)
