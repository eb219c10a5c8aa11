"""Test how requests, attempts, answers and replies are read and written."""

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

    def test_headers_beyond_ascii_are_read_as_what_they_are_written_as(self):
        found = self.read((b"x-name", "Jos\u00e9".encode()), (b"x-old", b"Jos\xe9"))
        self.assertIn(("x-name", "Jos\u00e9"), found.headers)
        self.assertIn(("x-old", "Jos\u00e9"), found.headers)
        self.assertIn(("request-id", "r1"), found.headers)

    def test_headers_of_the_connection_end_here(self):
        found = self.read((b"connection", b"keep-alive, X-Hop"), (b"x-hop", b"1"))
        self.assertEqual({"host", "request-id"}, {name for name, _ in found.headers})

    def test_the_callers_wait_is_read_and_its_other_words_are_not_passed_on(self):
        found = self.read((b"deadline-ms", b"1200"), (b"expect-instance", b"i-evil"))
        self.assertEqual(1200.0, found.wait_ms)
        self.assertEqual({"host", "request-id"}, {name for name, _ in found.headers})

    def test_a_wait_that_is_no_number_counts_as_none(self):
        for value in (b"soon", b"-5", b""):
            self.assertIsNone(self.read((b"deadline-ms", value)).wait_ms)

    def test_a_request_without_id_cannot_be_taken(self):
        found = self.read(headers=[(b"host", b"h")])
        self.assertIsInstance(found, BadRequest)
        self.assertEqual(400, found.status)

    def test_an_attempt_names_the_upstream_and_the_time_left(self):
        headers = dict(attempt_headers(self.read(), "i-7", 812.6))
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

    def test_an_answer_that_cannot_be_trusted_may_have_run(self):
        cases = [
            {"Response_Stamp": "s", "Request_Id": "other"},
            {"Response_Stamp": "s", "Content_Encoding": "gzip"},
            {"Request_Id": "r1"},
        ]
        for headers in cases:
            self.assertIsInstance(self.read(**headers), PossiblyExecuted, headers)

    def test_only_the_word_of_the_upstream_says_that_nothing_ran(self):
        self.assertEqual(NotExecuted(503), self.read(503, Not_Executed="1"))
        self.assertIsInstance(self.read(503), Completed)
        self.assertEqual(NotExecuted(421, True), self.read(421))


class ReplyTests(TestCase):
    def test_a_merged_reply_names_its_parts(self):
        headers = dict(reply_headers(MergedReply(("a", "b"), 1, b""), "r1"))
        self.assertEqual("a, b", headers["Part-Stamps"])
        self.assertEqual("1", headers["Missing-Parts"])

    def test_a_refusal_says_when_to_come_back(self):
        headers = dict(reply_headers(OwnReply(503, "full", 250.0), "r1"))
        self.assertEqual("0.250", headers["Retry-After"])

    def test_a_relayed_answer_keeps_its_headers(self):
        answer = Completed(500, (("Response-Stamp", "s"),), b"", "s")
        self.assertEqual([("Response-Stamp", "s")], reply_headers(RelayedReply(answer), "r1"))
