"""Test the authentication of peers and the delivery of messages over loopback ports."""

import asyncio
from unittest import IsolatedAsyncioTestCase

import zmq

from geraniumlead.actions import SendToPeer
from geraniumlead.configuration import ClusterView
from geraniumlead.documents import InstanceEntry
from geraniumlead.peer_messages import Goodbye, decode_message, encode_message
from geraniumlead.peering.outgoing_peer_message import OutgoingPeerMessage
from geraniumlead.settings import InstanceSettings, ListenSettings
from geraniumlead_server.peer_transport import PeerCodec, PeerTransport
from geraniumlead_server.peer_transport.published_keys import PublishedKeys
from geraniumlead_server.peer_transport.transport import MAX_MESSAGE_BYTES
from geraniumlead_standins.testing.free_ports import find_free_port

MAX_WAIT_S = 5.0
SETTLE_S = 0.5


class Node:
    """One end of a connection: a transport, its key pair and the messages it received."""

    def __init__(self, name: str, network: "Network", with_keys: bool) -> None:
        public, secret = zmq.curve_keypair() if with_keys else (b"", b"")
        self.name = name
        self.address = f"127.0.0.1:{find_free_port()}"
        self.public_key = public.decode()
        self.received: list[tuple[str, str]] = []
        settings = InstanceSettings(
            instance_id=name,
            data_centre="noord",
            listen=ListenSettings(
                callers="127.0.0.1:1", operators="127.0.0.1:2", peers=self.address
            ),
            platform_addresses=["127.0.0.1:4"],
            peer_public_key=self.public_key,
            peer_secret_key=secret.decode(),
        )
        self.transport = PeerTransport(
            settings,
            self._receive,
            PublishedKeys(lambda: network.view),
            PeerCodec(encode_message, decode_message),
        )
        self.transport.start()

    def send(self, other: "Node", text: str) -> None:
        self.transport.send(SendToPeer(other.name, other.address, Goodbye(text), other.public_key))

    def _receive(self, sender_id: str, message: Goodbye, envelope: bytes) -> None:
        self.received.append((sender_id, message.incarnation))


class Network:
    """The published list of instances, shared by all nodes."""

    def __init__(self) -> None:
        self.view = ClusterView()

    def publish(self, *nodes: Node) -> None:
        entries = tuple(
            InstanceEntry(
                instance_id=node.name,
                peer_address=node.address,
                peer_public_key=node.public_key,
            )
            for node in nodes
        )
        self.view = ClusterView(instances={"noord": entries})


class TransportTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.network = Network()
        self.nodes: list[Node] = []

    async def asyncTearDown(self):
        for node in self.nodes:
            node.transport.close()

    def add(self, name: str, with_keys: bool = True) -> Node:
        node = Node(name, self.network, with_keys)
        self.nodes.append(node)
        return node

    async def test_a_message_without_end_closes_its_connection_and_others_get_through(self):
        """Guards against a peer whose message takes all memory of the instance that receives it."""
        receiver, sender = self.add("noord-1", False), self.add("noord-2", False)
        context = zmq.Context()
        self.addCleanup(context.destroy, linger=0)
        dealer = context.socket(zmq.DEALER)
        dealer.connect(f"tcp://{receiver.address}")
        dealer.send(bytes(MAX_MESSAGE_BYTES + 1))
        sender.send(receiver, "7")
        await self.wait_for(lambda: receiver.received)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual([("noord-2", "7")], receiver.received)

    async def test_a_peer_whose_address_is_none_does_not_end_the_event(self):
        """Guards against one odd address that keeps messages from all other peers."""
        receiver, sender = self.add("noord-1", False), self.add("noord-2", False)
        for address in ("", "a b:1", "127.0.0.1:80\n", "127.0.0.1:99999"):
            sender.transport.send(SendToPeer("noord-3", address, Goodbye("9"), ""))
        sender.send(receiver, "7")
        await self.wait_for(lambda: receiver.received)
        self.assertEqual([("noord-2", "7")], receiver.received)

    async def wait_for(self, condition):
        async with asyncio.timeout(MAX_WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_the_sender_of_a_message_is_the_owner_of_the_key(self):
        one, other = self.add("noord-0"), self.add("noord-1")
        self.network.publish(one, other)
        one.send(other, "hello")
        await self.wait_for(lambda: other.received)
        self.assertEqual([("noord-0", "hello")], other.received)

    async def test_a_peer_cannot_take_the_name_of_another(self):
        """A process with a listed key in its own settings claims another instance's name.

        If the name alone counted, it could answer that instance's subqueries, or send a
        goodbye in its name.
        """
        one, other = self.add("noord-0"), self.add("noord-1")
        impostor = self.add("noord-0")
        impostor.name = "noord-2"
        self.network.publish(one, other, impostor)
        impostor.send(other, "goodbye for noord-0")
        await self.wait_for(lambda: other.received)
        self.assertEqual("noord-2", other.received[0][0])

    async def test_an_unknown_key_is_refused_until_it_is_listed(self):
        """A new instance sends to a peer whose list does not have it yet.

        ZeroMQ never reconnects a refused connection. Unless another one is opened, the peer
        would never receive from the new instance, although its list has it a moment later.
        """
        one, other = self.add("noord-0"), self.add("noord-1")
        self.network.publish(other)
        one.send(other, "too early")
        await asyncio.sleep(SETTLE_S)
        self.assertEqual([], other.received)
        self.network.publish(one, other)
        await self.wait_for(lambda: one.send(other, "now") or other.received)

    async def test_messages_of_a_peer_that_left_the_list_are_discarded(self):
        one, other = self.add("noord-0"), self.add("noord-1")
        self.network.publish(one, other)
        one.send(other, "hello")
        await self.wait_for(lambda: other.received)
        self.network.publish(other)
        one.send(other, "again")
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(1, len(other.received))

    async def test_a_peer_with_a_new_key_gets_a_new_connection(self):
        one, old = self.add("noord-0"), self.add("noord-1")
        self.network.publish(one, old)
        one.send(old, "hello")
        await self.wait_for(lambda: old.received)
        new = self.add("noord-1")
        self.network.publish(one, new)
        one.send(new, "hello")
        await self.wait_for(lambda: new.received)
        self.assertEqual(1, len(one.transport._dealers))

    async def test_every_message_of_a_burst_is_received(self):
        one, other = self.add("noord-0", False), self.add("noord-1", False)
        for number in range(900):
            one.send(other, str(number))
        await self.wait_for(lambda: len(other.received) == 900)
        self.assertEqual(("noord-0", "899"), other.received[-1])

    async def test_connections_to_a_seed_and_to_its_instance_use_different_identities(self):
        """A hello is sent to a seed's address before its name is known, later to the name.

        Both connections lead to the same instance. With the same identity each would take it
        over from the other, and messages on the other connection would be dropped, so that one
        direction would never work.
        """
        one = self.add("noord-0", with_keys=False)
        other = self.add("noord-1", with_keys=False)
        for number in range(3):
            one.transport.send(
                OutgoingPeerMessage(f"seed {other.address}", other.address, Goodbye("seed"))
            )
            one.transport.send(OutgoingPeerMessage("noord-1", other.address, Goodbye(str(number))))
            await asyncio.sleep(0.2)
        await self.wait_for(lambda: len(other.received) == 6)
        self.assertEqual({"noord-0"}, {sender_id for sender_id, _ in other.received})
