"""Tests of the stamps of messages whose sender does not know the receiver's clock."""

from unittest import TestCase
from unittest.mock import patch

from msgspec.structs import replace

from geraniumlead.peering import DelegatedRequest, DelegationCancelled
from geraniumlead_server.time_of_day import measure_way_ms, stamp_message

MESSAGE = DelegatedRequest(
    1, 3, "all", ("shard-0",), "id", "GET", "host", "/", "/", (), b"", 900.0, 200.0
)


class TimeOfDayTests(TestCase):
    def test_the_way_of_a_request_without_an_end_is_measured(self):
        with patch("time.time", return_value=1_000.0):
            stamped = stamp_message(MESSAGE)
        with patch("time.time", return_value=1_001.5):
            self.assertEqual(1_500.0, measure_way_ms(stamped))

    def test_other_messages_are_neither_stamped_nor_measured(self):
        for message in (replace(MESSAGE, end_ms=5.0), DelegationCancelled(1)):
            self.assertIs(message, stamp_message(message))
            self.assertIsNone(measure_way_ms(message))
