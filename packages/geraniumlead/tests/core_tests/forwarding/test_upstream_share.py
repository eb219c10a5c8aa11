"""Test how two instances divide the upstreams that a subrequest may reach."""

from itertools import product
from unittest import TestCase

from msgspec.structs import replace

from core_tests.forwarding.builders import (
    build_configuration,
    build_fan_out,
    build_record,
    build_updates,
)
from core_tests.forwarding.instance_pair import FAR, InstancePair
from geraniumlead.forwarding import PeerMessageReceived, PossiblyExecuted
from geraniumlead.forwarding.upstream_share import (
    ANY_UPSTREAM,
    NO_UPSTREAM,
    NOT_SHARED,
    OnlyUpstream,
    SentByPeer,
    SentForPeer,
    find_allowed,
)
from geraniumlead.peering import DelegatedReply, DelegatedRequest

UPSTREAM_IDS = ("a", "b", "c", "d")


def list_reachable(share, max_upstreams: int) -> list[frozenset[str]]:
    """Return each set of upstreams that attempts in any order can reach."""
    reachable = set()
    for wanted in product(UPSTREAM_IDS, repeat=max_upstreams + 1):
        sent_to: list[str] = []
        for upstream_id in wanted:
            allowed = find_allowed(share, sent_to, max_upstreams)
            is_allowed = allowed in (ANY_UPSTREAM, OnlyUpstream(upstream_id))
            if is_allowed and upstream_id not in sent_to:
                sent_to.append(upstream_id)
        reachable.add(frozenset(sent_to))
    return list(reachable)


class FindAllowedTests(TestCase):
    def test_two_instances_never_reach_more_upstreams_than_the_route_allows(self):
        """Guards against two instances that each reach as many as the route allows."""
        for max_upstreams in (1, 2, 3):
            senders = list_reachable(SentByPeer("a"), max_upstreams)
            peers = list_reachable(SentForPeer("a"), max_upstreams)
            for own, other in product(senders, peers):
                self.assertLessEqual(len(own | other), max_upstreams)

    def test_a_peer_may_still_reach_as_many_as_the_route_allows(self):
        for max_upstreams in (1, 2, 3):
            sizes = map(len, list_reachable(SentForPeer("a"), max_upstreams))
            self.assertEqual(max_upstreams, max(sizes))

    def test_an_instance_that_sends_alone_may_reach_any_up_to_the_limit(self):
        self.assertEqual(ANY_UPSTREAM, find_allowed(NOT_SHARED, ["a"], 2))
        self.assertEqual(NO_UPSTREAM, find_allowed(NOT_SHARED, ["a", "b"], 2))
        self.assertEqual(NO_UPSTREAM, find_allowed(NOT_SHARED, ["a", None], 2))


class SharedUpstreamTests(TestCase):
    """Two instances; the far one has three upstreams of each of four shards in its region."""

    def setUp(self):
        pair = InstancePair()
        self.near, self.far = pair.near, pair.far
        self.deliver, self.find_messages = pair.deliver, pair.find_messages
        route = build_fan_out(shard_count=5)
        records = [build_record("near", "shard-0")]
        records += [
            build_record(f"{name}.{copy}", name, data_centre="midden-a")
            for name in route.services()[1:]
            for copy in range(3)
        ]
        for harness in (self.near, self.far):
            harness.handle(build_updates(build_configuration(route, version=2), *records))
        pair.run_until(self.near.now_ms + 1_500.0)
        self.near.ask()
        (outgoing,) = self.find_messages(self.near, DelegatedRequest)
        self.request = outgoing.message
        self.shared = dict(zip(self.request.shards, self.request.shared_upstreams, strict=True))

    def test_a_silent_peer_is_hedged_at_the_upstream_that_both_may_reach(self):
        """Guards against an upstream of which the peer, which is only busy, knows nothing."""
        started = self.near.run_until(self.near.now_ms + 900.0)
        by_shard = {found.upstream.service: found.upstream.upstream_id for found in started}
        self.assertEqual(self.shared, by_shard)

    def test_a_shard_that_the_peer_lost_may_go_to_any_other_upstream(self):
        """Guards against shards that are given up although all attempts of the peer are known."""
        self.deliver()
        tried = ((0, (self.shared["shard-1"],)),)
        reply = DelegatedReply(self.request.number, tried=tried)
        before = len(self.near.started)
        self.near.handle(PeerMessageReceived(FAR, reply))
        retried = self.near.started[before].upstream
        self.assertEqual("shard-1", retried.service)
        self.assertNotEqual(self.shared["shard-1"], retried.upstream_id)

    def test_a_peer_retries_at_an_upstream_of_its_own_choice(self):
        """Guards against a peer that may not retry at all, since the other instance might."""
        self.deliver()
        first = self.far.started[0]
        (second,) = self.far.end(first, PossiblyExecuted("reset"))
        self.assertNotEqual(first.upstream.upstream_id, second.upstream.upstream_id)

    def test_a_peer_serves_requests_of_an_older_version(self):
        """Guards against a rolling upgrade in which delegated requests fail."""
        self.near.outgoing.clear()
        older = replace(self.request, shared_upstreams=())
        self.far.handle(PeerMessageReceived("entry-noord-1", older))
        self.assertEqual(4, len(self.far.started))
