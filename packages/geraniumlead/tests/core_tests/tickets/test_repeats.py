"""Test bookings that are repeated while the first request is still open."""

from unittest import TestCase
from unittest.mock import patch

from geraniumlead.admission import AdmissionController, Admitted, Queued
from geraniumlead.events import QueryArrived, TicketRequested
from geraniumlead.requests import Answered, CallerRequest, Unknown
from geraniumlead.tickets import ticket_registry
from geraniumlead_standins.virtual.small_cluster import ClusterSize, SmallCluster

START_MS = 5_000.0


class Booking:
    """One instance with one slow upstream, and a ticket."""

    def __init__(self, slowdown: float) -> None:
        size = ClusterSize(instances=1, shards=1, replicas=1)
        self.run = SmallCluster.from_size(size, seed=1).run
        self.answers: dict[str, tuple[object, float]] = {}
        self.run.on_answer = self._record_answer
        self.run.queue.run_until(START_MS)
        self.upstream = next(iter(self.run.upstreams.values()))
        self.upstream.slowdown = slowdown
        self.run.deliver("noord-0", TicketRequested("ask", "acme", "booking"))

    def _record_answer(self, name, action, now_ms: float) -> None:
        if action.request_id == "ask":
            self.ticket = action.ticket
        else:
            self.answers[action.request_id] = (action.outcome, now_ms)

    def send(self, request_id: str, allowed_ms: float) -> None:
        now_ms = self.run.now_ms
        request = CallerRequest(
            request_id=request_id,
            customer="acme",
            class_name="booking",
            query=b"{}",
            arrived_ms=now_ms,
            deadline_ms=now_ms + allowed_ms,
            least_coverage=1.0,
            key="member-1",
            ticket=self.ticket,
        )
        self.run.deliver("noord-0", QueryArrived(request))


class RepeatTests(TestCase):
    def test_a_repeat_of_a_queued_booking_does_not_run_beside_it(self):
        """The instance is full, so a booking is queued, and its caller repeats it.

        If the ticket is marked as used only when the booking leaves the queue, the repeat finds
        it unused and is queued too, and both run once slots are free.
        """
        booking = Booking(slowdown=1.0)
        queued: list[CallerRequest] = []

        def offer(self, request, now_ms):
            queued.append(request)
            return Queued(request)

        def take_ready(self, now_ms):
            ready = [Admitted(request) for request in queued] if now_ms > START_MS + 50 else []
            queued[:] = queued if not ready else []
            return ready

        with (
            patch.object(AdmissionController, "offer", offer),
            patch.object(AdmissionController, "pop_ready", take_ready),
        ):
            booking.send("first", 900.0)
            booking.send("repeat", 900.0)
            booking.run.queue.run_until(START_MS + 1_000.0)
        self.assertEqual(1, booking.upstream.received)
        self.assertIsInstance(booking.answers["first"][0], Answered)
        self.assertIsInstance(booking.answers["repeat"][0], Answered)

    def test_a_repeat_is_answered_by_its_own_deadline(self):
        """A caller repeats a running booking with less time left than the first request.

        If the repeat waits for the running request's outcome past its own deadline, its caller
        gets no answer.
        """
        booking = Booking(slowdown=75.0)
        booking.send("first", 450.0)
        booking.send("repeat", 100.0)
        booking.run.queue.run_until(START_MS + 2_000.0)
        outcome, answered_ms = booking.answers["repeat"]
        self.assertIsInstance(outcome, Unknown)
        self.assertLessEqual(answered_ms, START_MS + 101.0)
        self.assertEqual(1, booking.upstream.received)

    def test_tickets_that_nobody_uses_are_bounded(self):
        """A caller requests tickets in a loop and uses none; the memory used must stay bounded."""
        booking = Booking(slowdown=1.0)
        with patch.object(ticket_registry, "MAX_TICKETS", 10):
            for _ in range(20):
                booking.run.deliver("noord-0", TicketRequested("ask", "acme", "booking"))
        self.assertIsNone(booking.ticket)
