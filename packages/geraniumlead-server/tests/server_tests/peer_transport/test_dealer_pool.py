"""Test that idle connections to peers are closed."""

from unittest import TestCase
from unittest.mock import Mock

from geraniumlead.actions import SendToPeer
from geraniumlead.peer_messages import Goodbye
from geraniumlead_server.peer_transport.dealer_pool import IDLE_TIMEOUT_S, DealerPool


class DealerPoolTests(TestCase):
    def test_an_idle_connection_is_closed(self):
        opened = []
        pool = DealerPool(lambda action: opened.append(Mock()) or opened[-1])
        left = SendToPeer("noord-1", "127.0.0.1:1", Goodbye(""), "")
        stayed = SendToPeer("noord-2", "127.0.0.1:2", Goodbye(""), "")
        pool.socket_for(left, 0.0)
        pool.socket_for(stayed, IDLE_TIMEOUT_S)
        pool.socket_for(stayed, IDLE_TIMEOUT_S + 11.0)
        opened[0].close.assert_called_once()
        opened[1].close.assert_not_called()
        self.assertEqual(1, len(pool))

    def test_a_connection_to_the_previous_process_of_a_peer_is_closed(self):
        """Guards against a new process that hears of what the fleet knows two seconds late."""
        opened = []
        pool = DealerPool(lambda action: opened.append(Mock()) or opened[-1])
        peer = SendToPeer("noord-1", "127.0.0.1:1", Goodbye(""), "")
        pool.socket_for(peer, 10.0)
        pool.renew_after_restart("noord-1", running_s=15.0, now_s=20.0)
        opened[0].close.assert_not_called()
        pool.renew_after_restart("noord-1", running_s=0.5, now_s=20.0)
        opened[0].close.assert_called_once()
        pool.socket_for(peer, 20.0)
        pool.renew_after_restart("noord-1", running_s=1.5, now_s=21.0)
        opened[1].close.assert_not_called()
