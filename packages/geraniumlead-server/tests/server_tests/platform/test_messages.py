"""Tests of the formats of requests, attempts, answers and replies."""

from unittest import TestCase

from geraniumlead.forwarding import (
    Completed,
    MergedReply,
    NotExecuted,
    OwnReply,
    PossiblyExecuted,
    RelayedReply,
)
from geraniumlead_server.platform import (
    BadRequest,
    attempt_headers,
    read_answer,
    read_request,
    reply_headers,
    set_time_left,
)


def build_scope(*headers: tuple[bytes, bytes], **changes) -> dict:
    scope = {
        "method": "POST",
        "raw_path": b"/pages/a%2Fb",
        "query_string": b"x=1&y=%20",
        "headers": [(b"host", b"search.example"), (b"request-id", b"r1"), *headers],
    }
    return scope | changes


class RequestTests(TestCase):
    def read(self, *headers, **changes):
        return read_request(1, build_scope(*headers, **changes), b"body", 5.0, 2.0)

    def test_target_and_headers_stay_as_they_were_sent(self):
        found = self.read((b"x-own", b"1"), (b"x-own", b"2"), (b"content-type", b"text/x"))
        self.assertEqual("/pages/a%2Fb?x=1&y=%20", found.target)
        self.assertIn(("x-own", "1"), found.headers)
        self.assertIn(("x-own", "2"), found.headers)
        self.assertIn(("content-type", "text/x"), found.headers)

    def test_non_ascii_headers_are_decoded(self):
        found = self.read((b"x-name", "Jos\u00e9".encode()), (b"x-old", b"Jos\xe9"))
        self.assertIn(("x-name", "Jos\u00e9"), found.headers)
        self.assertIn(("x-old", "Jos\u00e9"), found.headers)
        self.assertIn(("request-id", "r1"), found.headers)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        found = self.read((b"connection", b"keep-alive, X-Hop"), (b"x-hop", b"1"))
        self.assertEqual({"host", "request-id"}, {name for name, _ in found.headers})

    def test_deadline_is_read_and_platform_headers_are_not_forwarded(self):
        found = self.read((b"deadline-ms", b"1200"), (b"expect-instance", b"i-evil"))
        self.assertEqual(1200.0, found.wait_ms)
        self.assertEqual({"host", "request-id"}, {name for name, _ in found.headers})

    def test_invalid_deadline_is_ignored(self):
        for value in (b"soon", b"nan", b""):
            self.assertIsNone(self.read((b"deadline-ms", value)).wait_ms)

    def test_a_deadline_that_has_passed_is_no_absent_one(self):
        """Guards against a caller whose time is over and who gets the route's whole timeout."""
        for value in (b"0", b"0.0", b"-5", b"-inf"):
            self.assertEqual(0.0, self.read((b"deadline-ms", value)).wait_ms)

    def test_request_without_id_is_refused(self):
        found = self.read(headers=[(b"host", b"h")])
        self.assertIsInstance(found, BadRequest)
        self.assertEqual(400, found.status)

    def test_an_attempt_names_the_upstream_and_the_time_left(self):
        headers = dict(attempt_headers(self.read(), "i-7"))
        self.assertEqual(812, set_time_left(headers, 812.6))
        self.assertEqual("812", headers["Deadline-Ms"])
        self.assertEqual("i-7", headers["Expect-Instance"])


class AnswerTests(TestCase):
    def read(self, status=200, body=b"answer", **headers):
        request = read_request(1, build_scope(), b"", 0.0, 0.0)
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return read_answer(request, status, named.items(), body)

    def test_a_signed_answer_is_complete(self):
        found = self.read(Response_Stamp="s", Request_Id="r1", Connection="close", X_Own="1")
        self.assertTrue(found.is_success)
        kept = dict(found.headers)
        self.assertEqual({"Response-Stamp", "Request-Id", "X-Own"}, set(kept))

    def test_invalid_answer_counts_as_possibly_executed(self):
        cases = [
            {"Response_Stamp": "s", "Request_Id": "other"},
            {"Response_Stamp": "s", "Content_Encoding": "gzip"},
            {"Request_Id": "r1"},
        ]
        for headers in cases:
            self.assertIsInstance(self.read(**headers), PossiblyExecuted, headers)

    def test_only_the_header_of_the_upstream_means_not_executed(self):
        self.assertEqual(NotExecuted(503), self.read(503, Not_Executed="1"))
        self.assertIsInstance(self.read(503), Completed)
        self.assertEqual(NotExecuted(421, True), self.read(421))


class ReplyTests(TestCase):
    def test_a_merged_reply_names_its_parts(self):
        headers = dict(reply_headers(MergedReply(("a", "b"), 1, b""), "r1"))
        self.assertEqual("a, b", headers["Part-Stamps"])
        self.assertEqual("1", headers["Missing-Parts"])

    def test_refusal_has_a_retry_after_header(self):
        headers = dict(reply_headers(OwnReply(503, "full", 250.0), "r1"))
        self.assertEqual("0.250", headers["Retry-After"])

    def test_a_relayed_answer_keeps_its_headers(self):
        answer = Completed(500, (("Response-Stamp", "s"),), b"", "s")
        self.assertEqual([("Response-Stamp", "s")], reply_headers(RelayedReply(answer), "r1"))
