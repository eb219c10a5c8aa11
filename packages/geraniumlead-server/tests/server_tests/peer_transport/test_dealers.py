"""Test which connections stay open."""

from unittest import TestCase
from unittest.mock import Mock

from geraniumlead.actions import SendToPeer
from geraniumlead.peer_messages import Goodbye
from geraniumlead_server.peer_transport.dealers import IDLE_S, Dealers


class DealersTests(TestCase):
    def test_a_connection_without_use_is_closed(self):
        opened = []
        dealers = Dealers(lambda action: opened.append(Mock()) or opened[-1])
        left = SendToPeer("noord-1", "127.0.0.1:1", Goodbye(""), "")
        stayed = SendToPeer("noord-2", "127.0.0.1:2", Goodbye(""), "")
        dealers.socket_for(left, 0.0)
        dealers.socket_for(stayed, IDLE_S)
        dealers.socket_for(stayed, IDLE_S + 11.0)
        opened[0].close.assert_called_once()
        opened[1].close.assert_not_called()
        self.assertEqual(1, len(dealers))
