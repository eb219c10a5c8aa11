"""Tests of the codec of the messages between instances."""

from unittest import TestCase
from zlib import compress

from geraniumlead.peering import (
    CrashReport,
    CrashReports,
    DelegatedReply,
    DelegatedRequest,
    DelegationAcknowledged,
    DelegationCancelled,
    Goodbye,
    Hello,
    LostProcess,
    PeerContact,
    StoreItem,
    StoreUpdates,
    decode_peering,
    encode_peering,
)
from geraniumlead.peering.messages import MAX_MESSAGE_BYTES, ZLIB_FIRST_BYTE

CONTACT = PeerContact("entry-1", "10.1.0.1:7000", "noord-a")
MESSAGES = (
    Hello(CONTACT, 7, 3, True, 1_000.0, 900.0, 12.0, (CONTACT,)),
    Goodbye(7),
    DelegatedRequest(
        1, 3, "all", ("shard-0",), "id", "GET", "host", "/", "/?x", (("a", "b"),), b"", 900.0, 200.0
    ),
    DelegationAcknowledged(1),
    DelegatedReply(1, False, ((0, "signature"),), b"records"),
    StoreUpdates(4, 7, (StoreItem("key", 5, b"value"), StoreItem("gone", 7)), True),
    DelegationCancelled(1),
    CrashReports(1.5, (CrashReport(123, (LostProcess(7, 40, 35, True),)),)),
    CrashReports(1.5, (CrashReport(2**64 - 1, (), 10, 5, 1, 99),)),
)


class CodecTests(TestCase):
    def test_each_message_is_decoded_as_it_was_encoded(self):
        """Guards against a message type that is missing in the decoder.

        Peers then dropped the notices of a request that crashes upstreams as malformed, and the
        request crashed three more upstreams at each of them.
        """
        for message in MESSAGES:
            with self.subTest(type(message).__name__):
                self.assertEqual(message, decode_peering(encode_peering(message)))

    def test_large_messages_are_compressed(self):
        signatures = tuple((n, f"3e1b.07.5a2.{600 + n}.0.c9f2a4{n:02x}") for n in range(24))
        reply = DelegatedReply(1, False, signatures, bytes(range(160)))
        data = encode_peering(reply)
        self.assertLess(len(data), 600)
        self.assertEqual(reply, decode_peering(data))

    def test_damaged_or_huge_compressed_bytes_are_rejected(self):
        """A sender that is not a peer sends a few bytes that decompress to gigabytes."""
        data = encode_peering(StoreUpdates(1, 2, (StoreItem("key", 2, b"v" * 1_000),)))
        self.assertEqual(ZLIB_FIRST_BYTE, data[:1])
        self.assertIsNone(decode_peering(data[:-4]))
        self.assertIsNone(decode_peering(data[:8] + b"??" + data[10:]))
        self.assertIsNone(decode_peering(compress(bytes(MAX_MESSAGE_BYTES + 1))))

    def test_other_bytes_are_rejected(self):
        for data in (b"", b"\xc1", b"\x91\xa5hello", b"\x92\xa7unknown\x01"):
            self.assertIsNone(decode_peering(data))
