"""Tests of the decoding of values in the store."""

from json import dumps
from unittest import TestCase

from msgspec.json import encode

from geraniumlead.forwarding import (
    ConfigurationSeen,
    EvacuationSeen,
    UpstreamSeen,
    UpstreamWithdrawn,
)
from geraniumlead.published_upstreams import UpstreamRecord
from geraniumlead.routes import FanOut, OneService, SplitServices
from geraniumlead_server.platform.store_records import UnreadableValue, read_item

ENTRY = {
    "service": "reader",
    "addr": "10.1.0.9:8080",
    "zone": "noord-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 1200,
    "seq": 4,
    "born": 1_700_000_000_000,
}
ROUTE = {
    "name": "r",
    "hostname": "Search.Example",
    "prefix": "/pages/",
    "type": "safe",
    "timeoutMs": 800,
    "latencyGoalMs": 161,
    "priority": 2,
    "maxAttempts": 2,
    "allowedRegions": ["noord"],
}


class UpstreamEntryTests(TestCase):
    def test_entry_is_read_as_an_upstream(self):
        expected = UpstreamRecord(
            "i-1", "reader", "10.1.0.9:8080", "noord-a", 2, True, 1200.0, 1_700_000_000_000
        )
        self.assertEqual(UpstreamSeen(expected), read_item("servers/i-1", encode(ENTRY)))

    def test_deleted_entry_withdraws_the_upstream(self):
        self.assertEqual(UpstreamWithdrawn("i-1"), read_item("servers/i-1", None))

    def test_invalid_entries_are_not_used_in_part(self):
        """Another program writes below the same prefix.

        Fields are missing, have other types or unknown values. An upstream that is read from a
        part of them would get requests at a wrong address.
        """
        broken = [
            b"\xff\xfe",
            b"[]",
            b"{",
            b"",
            encode(ENTRY | {"state": "resting"}),
            encode(ENTRY | {"slots": "2"}),
            encode(ENTRY | {"slots": 0}),
            encode(ENTRY | {"addr": "somewhere"}),
            encode(ENTRY | {"service": None}),
            encode(ENTRY | {"born": 1.5}),
            encode({name: ENTRY[name] for name in ENTRY if name != "zone"}),
        ]
        for value in broken:
            self.assertIsInstance(read_item("servers/i-1", value), UnreadableValue, value)

    def test_entries_of_which_no_upstream_could_be_called_are_not_used(self):
        """Guards against an odd entry that is taken for a server, and gets a part of the calls."""
        odd = [
            {"addr": "10.1.0.9:99999"},
            {"addr": "10.1.0.9:0"},
            {"addr": "10.1.0.999:80"},
            {"addr": "10.1.0.9:80\n"},
            {"addr": "10.1.0.9:\u0668\u0660"},
            {"addr": "10.1.0:80"},
            {"addr": "[10.1.0.9]:80"},
            {"addr": "010.1.0.9:80"},
            {"addr": "10.1.0.9:" + "8" * 5_000},
            {"slots": 10**18},
            {"slots": 10**401},
            {"born": 10**401},
            {"born": -1},
            {"seq": 10**401},
            {"warmupLeftMs": 1e308},
        ]
        for changes in odd:
            value = dumps(ENTRY | changes).encode()
            self.assertIsInstance(read_item("servers/i-1", value), UnreadableValue, changes)
        for upstream_id in ("i-1\r\nX: y", "i-1\n", "i 1", "i-\u0661", "i-\x00", ""):
            found = read_item(f"servers/{upstream_id}", encode(ENTRY))
            self.assertIsInstance(found, UnreadableValue, upstream_id)
        deep = b'{"service":' + b"[" * 40_000
        self.assertIsInstance(read_item("servers/i-1", deep), UnreadableValue)

    def test_the_largest_ordinary_values_are_used(self):
        """Guards against bounds that leave out sound servers."""
        changes = {"addr": "255.255.255.254:65535", "slots": 100_000, "born": 4_102_444_800_000}
        self.assertIsInstance(read_item("servers/i-1", encode(ENTRY | changes)), UpstreamSeen)

    def test_fields_of_a_newer_platform_are_ignored(self):
        self.assertIsInstance(read_item("servers/i", encode(ENTRY | {"mood": 1})), UpstreamSeen)


class ConfigurationTests(TestCase):
    def read(self, **target):
        body = {
            "version": 7,
            "routes": [ROUTE | target],
            "services": [{"name": "reader", "maxConns": 26, "warmupPerS": 3.0}],
            "limits": {"maxHeaderBytes": 4096, "idleTimeoutMs": 9000},
        }
        return read_item("op/config", encode(body))

    def read_route(self, **target):
        found = self.read(**target)
        assert isinstance(found, ConfigurationSeen), found
        return found.configuration.routes.find("search.example", "/pages/1")

    def test_the_three_kinds_of_target(self):
        self.assertEqual(OneService("reader"), self.read_route(service="reader").target)
        split = [{"service": "a", "weight": 70}, {"service": "b", "weight": 30}]
        expected = SplitServices((("a", 70.0), ("b", 30.0)))
        self.assertEqual(expected, self.read_route(trafficSplit=split).target)
        route = self.read_route(fanout=["a", "b"], topK=5, oldestVersion=0.75)
        self.assertEqual(FanOut(("a", "b"), 5, 0.75), route.target)

    def test_only_the_type_safe_allows_repeats(self):
        self.assertTrue(self.read_route(service="reader").is_idempotent)
        for route_type in ("unsafe", "keyed", ""):
            self.assertFalse(self.read_route(service="reader", type=route_type).is_idempotent)

    def test_limits_and_services_are_read(self):
        configuration = self.read(service="reader").configuration
        self.assertEqual(4096, configuration.limits.header_bytes)
        self.assertEqual(9000.0, configuration.limits.idle_timeout_ms)
        self.assertEqual(26, configuration.services["reader"].max_connections)

    def test_route_without_target_invalidates_the_configuration(self):
        self.assertIsInstance(self.read(), UnreadableValue)

    def test_evacuations_start_and_end(self):
        self.assertEqual(EvacuationSeen("zuid-a", True), read_item("op/evacuate/zuid-a", b"{}"))
        self.assertEqual(EvacuationSeen("zuid-a", False), read_item("op/evacuate/zuid-a", None))

    def test_other_keys_are_ignored(self):
        self.assertIsNone(read_item("other/key", b"{}"))
