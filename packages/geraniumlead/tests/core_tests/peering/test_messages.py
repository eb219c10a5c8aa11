"""Test that every message between instances passes the codec."""

from unittest import TestCase

from geraniumlead.peering import (
    CrashNotice,
    DelegatedReply,
    DelegatedRequest,
    DelegationCancelled,
    DelegationTaken,
    Farewell,
    Hello,
    PeerContact,
    decode_peering,
    encode_peering,
)

CONTACT = PeerContact("entry-1", "10.1.0.1:7000", "noord-a")
MESSAGES = (
    Hello(CONTACT, 7, 3, True, 1_000.0, 900.0, 12.0, (CONTACT,)),
    Farewell(7),
    DelegatedRequest(
        1, 3, "all", ("shard-0",), "id", "GET", "host", "/", "/?x", (("a", "b"),), b"", 900.0, 200.0
    ),
    DelegationTaken(1),
    DelegatedReply(1, False, (("shard-0", "signature"),), b"records"),
    DelegationCancelled(1),
    CrashNotice(123, ("upstream-1", "upstream-2")),
)


class CodecTests(TestCase):
    def test_each_message_arrives_as_it_was_sent(self):
        """An instance tells its peers of a request that crashes upstreams.

        The kind was missing in the decoder: peers dropped the notice as malformed, and the
        request crashed three more upstreams at each of them.
        """
        for message in MESSAGES:
            with self.subTest(type(message).__name__):
                self.assertEqual(message, decode_peering(encode_peering(message)))

    def test_other_bytes_are_no_message(self):
        for data in (b"", b"\xc1", b"\x91\xa5hello", b"\x92\xa7unknown\x01"):
            self.assertIsNone(decode_peering(data))
