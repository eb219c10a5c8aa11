"""Test which requests start, wait or are refused."""

from unittest import TestCase

from core_tests.admission.builders import build_controller, build_request, build_view
from core_tests.builders import build_contract, build_traffic_class
from geraniumlead.admission import Admitted, Queued, Refused
from geraniumlead.admission.service_pool import TOP_PRIORITY_FACTOR
from geraniumlead.requests import RefusalReason

YEAR_2030_S = 1_893_456_000.0


def reasons_of(decisions) -> list:
    return [found.reason for found in decisions if isinstance(found, Refused)]


class ContractTests(TestCase):
    def test_rate_and_burst(self):
        contract = build_contract(rate_per_s=10.0, burst_requests=3)
        controller = build_controller(build_view(contract))
        decisions = [controller.offer(build_request(number), 0.0) for number in range(5)]
        self.assertEqual([RefusalReason.RATE] * 2, reasons_of(decisions))
        self.assertIsInstance(controller.offer(build_request(9), 100.0), Admitted)
        self.assertIsInstance(controller.offer(build_request(10), 150.0), Refused)

    def test_instance_enforces_its_share(self):
        contract = build_contract(burst_requests=8, concurrent_requests=100)
        controller = build_controller(build_view(contract, instance_count=4))
        decisions = [controller.offer(build_request(number), 0.0) for number in range(5)]
        self.assertEqual([RefusalReason.RATE] * 3, reasons_of(decisions))

    def test_concurrent_requests(self):
        controller = build_controller(build_view(build_contract(concurrent_requests=2)))
        decisions = [controller.offer(build_request(number), 0.0) for number in range(3)]
        self.assertEqual([RefusalReason.CONCURRENCY], reasons_of(decisions))
        controller.release("r0", 5.0)
        self.assertIsInstance(controller.offer(build_request(3), 5.0), Admitted)

    def test_validity_dates(self):
        contract = build_contract(
            valid_from="2029-12-31T23:59:00Z", valid_until="2030-01-01T01:00:00+01:00"
        )
        controller = build_controller(build_view(contract))
        controller.observe_wall_clock(YEAR_2030_S - 1.5, 0.0)
        self.assertIsInstance(controller.offer(build_request(0), 0.0), Admitted)
        refused = controller.offer(build_request(1), 1_600.0)
        self.assertEqual(RefusalReason.CONTRACT_EXPIRED, refused.reason)

    def test_not_yet_valid_names_the_time_to_come_back(self):
        controller = build_controller(build_view(build_contract(valid_from="2030-01-01T00:00:00Z")))
        controller.observe_wall_clock(YEAR_2030_S - 10.0, 0.0)
        refused = controller.offer(build_request(), 0.0)
        self.assertEqual(RefusalReason.CONTRACT_EXPIRED, refused.reason)
        self.assertGreaterEqual(refused.retry_after_ms, 10_000.0)

    def test_unknown_contract_and_class(self):
        controller = build_controller(build_view())
        for changes in ({"customer": "nobody"}, {"class_name": "nothing"}):
            refused = controller.offer(build_request(**changes), 0.0)
            self.assertEqual(RefusalReason.CONTRACT_UNKNOWN, refused.reason)


class QueueTests(TestCase):
    def setUp(self):
        self.urgent = build_traffic_class(name="urgent", priority=0)
        self.lookup = build_traffic_class(priority=1)
        self.audit = build_traffic_class(name="audit", priority=5, deadline_ms=60_000)
        self.archive = build_traffic_class(
            name="archive", priority=1, deadline_ms=60_000, long_running=True
        )
        wide = {"rate_per_s": 1e5, "burst_requests": 10_000, "concurrent_requests": 10_000}
        classes = [self.urgent, self.lookup, self.audit, self.archive]
        self.controller = build_controller(
            build_view(
                build_contract(classes=classes, **wide),
                build_contract(
                    customer="other",
                    credentials_sha256=["0" * 64],
                    classes=classes,
                    weight=3,
                    **wide,
                ),
            ),
            queued_requests=40,
        )
        self.number = 0

    def offer(self, now_ms: float = 0.0, **changes):
        self.number += 1
        return self.controller.offer(build_request(self.number, now_ms, **changes), now_ms)

    def fill(self, class_name: str = "lookup") -> list[str]:
        started = []
        while isinstance(found := self.offer(class_name=class_name), Admitted):
            started.append(found.request.request_id)
        return started

    def release_one(self, request_id: str, now_ms: float = 1.0):
        self.controller.release(request_id, now_ms)
        return self.controller.pop_ready(now_ms)

    def test_priority_goes_first(self):
        started = self.fill("audit")
        wanted = self.offer(class_name="lookup")
        self.assertIsInstance(wanted, Queued)
        ready = self.release_one(started[0])
        self.assertEqual([Admitted(wanted.request)], ready)

    def test_priority_0_may_exceed_the_limit_by_its_factor_and_no_more(self):
        slots = len(self.fill("audit"))
        more = len(self.fill("urgent"))
        self.assertEqual(TOP_PRIORITY_FACTOR * slots, slots + more)
        self.assertIsInstance(self.offer(class_name="lookup"), Queued)

    def test_lowest_class_gets_its_floor(self):
        """Lookups alone use up the limit of the service while one audit waits.

        With strict priorities the audit would wait until its deadline. One request in twenty
        has to be an audit.
        """
        started = self.fill()
        self.offer(class_name="audit")
        served = []
        for _ in range(40):
            self.offer(class_name="lookup")
            ready = self.release_one(started.pop(0))
            started += [found.request.request_id for found in ready]
            served += [found.request.class_name for found in ready]
        self.assertIn("audit", served[:21])

    def test_contracts_share_by_weight(self):
        started = self.fill("audit")
        for _ in range(6):
            self.offer(class_name="audit", customer="other")
        for _ in range(6):
            self.offer(class_name="audit")
        served = []
        for request_id in started[:8]:
            served += [found.request.customer for found in self.release_one(request_id)]
        self.assertEqual(2, served.count("acme"))

    def test_earliest_deadline_first_within_a_contract(self):
        started = self.fill()
        late = self.offer(deadline_ms=190.0)
        early = self.offer(deadline_ms=100.0)
        self.assertIsInstance(late, Queued)
        self.assertEqual([Admitted(early.request)], self.release_one(started[0]))

    def test_long_running_requests_leave_slots_for_short_ones(self):
        """Long archive reads arrive first and would occupy every slot for seconds.

        Lookups would then wait for the end of a long read, although the upstreams serve them in
        milliseconds. They have to start even while the archive reads use up their own limit.
        """
        long_ones = self.fill("archive")
        self.assertGreater(len(long_ones), 2)
        self.assertIsInstance(self.offer(class_name="lookup"), Admitted)
        self.assertIsInstance(self.offer(class_name="archive"), Queued)

    def test_one_contract_leaves_room_in_the_queue(self):
        started = self.fill("audit")
        decisions = [self.offer(class_name="audit") for _ in range(60)]
        self.assertIn(RefusalReason.QUEUE_FULL, reasons_of(decisions))
        self.assertIsInstance(self.offer(class_name="audit", customer="other"), Queued)
        self.assertTrue(started)

    def test_hot_key_is_capped(self):
        decisions = [self.offer(key="k") for _ in range(40)]
        self.assertEqual({RefusalReason.HOT_KEY}, set(reasons_of(decisions)))
        self.assertIsInstance(self.offer(key="other"), Admitted)

    def test_queued_request_is_refused_as_soon_as_it_cannot_end_in_time(self):
        """The service stalls while a request with a deadline in 50 ms waits.

        It has to be refused as soon as it can't end in time any more, not at a later event, and
        with a time after which to retry.
        """
        self.fill()
        self.offer(deadline_ms=50.0)
        self.assertLessEqual(self.controller.next_wake_ms(), 50.0)
        refused = self.controller.pop_ready(50.1)
        self.assertEqual([RefusalReason.CANNOT_END_IN_TIME], reasons_of(refused))
        self.assertGreater(refused[0].retry_after_ms, 0.0)

    def test_release_of_a_queued_request_removes_it_from_the_queue(self):
        self.fill()
        self.controller.release(f"r{self.number}", 1.0)
        self.assertIsNone(self.controller.next_wake_ms())
