from random import Random

from geraniumlead.actions import Action, SendToPeer
from geraniumlead.admission import AdmissionController
from geraniumlead.cold_start import ColdStartGuard, ViewConfirmation
from geraniumlead.configuration import DocumentStore
from geraniumlead.coordination import CrashGuard, QueryCoordinator
from geraniumlead.dispatch import Dispatcher
from geraniumlead.documents import TrafficClass
from geraniumlead.freshness import ViewFreshness
from geraniumlead.instance.batcher import PeerBatcher
from geraniumlead.instance.lifecycle import Lifecycle
from geraniumlead.instance.ticket_handler import TicketHandler
from geraniumlead.membership import Membership
from geraniumlead.peer_messages import PeerMessage
from geraniumlead.quarantine import CanaryPlanner, QuarantineTracker
from geraniumlead.routing import Router
from geraniumlead.settings import InstanceSettings


class InstanceParts:
    """The components of one instance, and the actions that they caused.

    The handlers share one InstanceParts. Each handler turns one kind of event into calls of
    the components, and their results into ``actions``.
    """

    __slots__ = (
        "actions",
        "admission",
        "batcher",
        "cold_start",
        "coordinator",
        "dispatcher",
        "freshness",
        "incarnation",
        "lifecycle",
        "membership",
        "quarantine",
        "random",
        "router",
        "settings",
        "store",
        "tickets",
    )

    def __init__(
        self, settings: InstanceSettings, random: Random, now_ms: float, incarnation: str
    ) -> None:
        instance_id, data_centre = settings.instance_id, settings.data_centre
        self.settings = settings
        self.random = random
        self.incarnation = incarnation
        self.actions: list[Action] = []
        self.store = DocumentStore()
        self.membership = Membership(instance_id, data_centre, settings.timing.peer_timeout_ms)
        self.lifecycle = Lifecycle(settings.timing)
        self.freshness = ViewFreshness(settings.timing.pause_gap_ms, random, now_ms)
        self.admission = AdmissionController(settings.limits, instance_id, random)
        confirmation = ViewConfirmation(self.membership, self.store)
        self.cold_start = ColdStartGuard(instance_id, settings.timing, confirmation)
        self.dispatcher = Dispatcher(instance_id, self.cold_start)
        self.router = Router(
            instance_id, data_centre, self.membership, self.dispatcher, self.cold_start, random
        )
        self.quarantine = QuarantineTracker()
        self.coordinator = QueryCoordinator(
            f"{instance_id}.{self.incarnation}.",
            self.router,
            CrashGuard(self.quarantine, CanaryPlanner(data_centre)),
        )
        self.batcher = PeerBatcher(settings.timing.batch_tick_ms)
        self.tickets = TicketHandler.from_settings(settings, self.incarnation, random)

    @property
    def is_ready(self) -> bool:
        """Return whether this instance reports itself as ready to the load balancer."""
        in_service = self.store.view.is_data_centre_in_service(self.settings.data_centre)
        can_serve = self.lifecycle.is_serving and self.cold_start.can_serve
        return can_serve and in_service and not self.membership.is_leaving

    @property
    def is_configured(self) -> bool:
        """Return whether any documents are in force."""
        return self.store.revision > 0

    def find_traffic_class(self, customer: str, class_name: str) -> TrafficClass | None:
        """Return a traffic class of a contract in force, or None if there is none."""
        contract = self.store.view.contracts.get(customer)
        classes = contract.classes if contract is not None else ()
        return next((found for found in classes if found.name == class_name), None)

    def send(self, instance_id: str, message: PeerMessage) -> bool:
        """Send a message to a peer; return False if the peer is not listed."""
        peer = self.membership.peers.get(instance_id)
        if peer is None:
            return False
        entry = peer.entry
        self.actions.append(
            SendToPeer(instance_id, entry.peer_address, message, entry.peer_public_key)
        )
        return True
