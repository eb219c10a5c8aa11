"""Test answers that break off at any byte, of upstreams and of the platform's store."""

import asyncio
from unittest import IsolatedAsyncioTestCase

from geraniumlead.forwarding import (
    AttemptEnded,
    AttemptResult,
    Completed,
    Deadline,
    ForwardedRequest,
    NotExecuted,
    NotReached,
    StartAttempt,
)
from geraniumlead.published_upstreams import UpstreamRecord
from geraniumlead_server.forwarding_client import AttemptClient
from geraniumlead_server.platform import StoreClient
from geraniumlead_server.platform.store_client import StoreError
from server_tests.forwarding.cut_upstream import CutUpstream, Ending

ATTEMPT_MS = 5_000.0
HEAD = b"HTTP/1.1 200 OK\r\nResponse-Stamp: sig\r\nRequest-Id: r-1\r\n"
WITH_LENGTH = HEAD + b"Content-Length: 12\r\n\r\nwhole answer"
IN_CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n"
AFTER_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + WITH_LENGTH
FAILURE = WITH_LENGTH.replace(b"200 OK", b"500 Failed")
BODY = b"whole answer"
HEADERS = (("request-id", "r-1"),)


class CutAttemptTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = await CutUpstream().start()
        self.addAsyncCleanup(self.upstream.stop)
        self.results: asyncio.Queue[AttemptEnded] = asyncio.Queue()
        self.client = AttemptClient(self.results.put_nowait)
        self.number = 0

    async def asyncTearDown(self):
        await self.client.close()

    async def close_connections(self) -> None:
        await self.client.close()
        self.client = AttemptClient(self.results.put_nowait)

    async def attempt(self) -> AttemptResult:
        self.number += 1
        now_ms = asyncio.get_running_loop().time() * 1000.0
        request = ForwardedRequest(
            1, "r-1", "GET", "search.example", "/", "/", HEADERS, b"", now_ms, ATTEMPT_MS
        )
        record = UpstreamRecord("i-1", "pages", self.upstream.address, "noord-a", 2, True)
        deadline = Deadline(now_ms + ATTEMPT_MS, now_ms + ATTEMPT_MS)
        self.client.start(StartAttempt(self.number, record, request, deadline))
        return (await asyncio.wait_for(self.results.get(), ATTEMPT_MS / 1000.0)).result

    async def check_each_byte(self, answer: bytes, before: tuple[bytes, ...] = ()) -> None:
        """Check that the answer is taken only when all of it has come, however it ends before."""
        for ending in Ending:
            self.upstream.ending = ending
            for sent_bytes in range(len(answer)):
                await self.close_connections()
                self.upstream.answers = (*before, answer)
                self.upstream.sent_bytes = sent_bytes
                for _ in before:
                    self.assertEqual(BODY, (await self.attempt()).body)
                with self.subTest(ending=ending.value, sent=answer[:sent_bytes]):
                    result = await self.attempt()
                    self.assertNotIsInstance(result, Completed | NotExecuted | NotReached)

    async def test_a_whole_answer_is_taken(self):
        for answer in (WITH_LENGTH, IN_CHUNKS, AFTER_INTERIM):
            await self.close_connections()
            self.upstream.answers = (answer,)
            self.upstream.sent_bytes = len(answer)
            self.assertEqual(BODY, (await self.attempt()).body)

    async def test_an_answer_with_a_length_is_taken_only_when_it_is_whole(self):
        """Guards against a 200 with an empty or short body that is framed as whole."""
        await self.check_each_byte(WITH_LENGTH)

    async def test_an_answer_in_chunks_is_taken_only_when_it_is_whole(self):
        """Guards against a body that ends in a chunk, or before the last one, and seems whole."""
        await self.check_each_byte(IN_CHUNKS)

    async def test_an_answer_after_an_interim_one_is_taken_only_when_it_is_whole(self):
        """Guards against an interim answer that is taken for the final one."""
        await self.check_each_byte(AFTER_INTERIM)

    async def test_the_second_answer_on_a_connection_is_taken_only_when_it_is_whole(self):
        """Guards against the answer before it, or its length, that counts for the next request."""
        await self.check_each_byte(WITH_LENGTH, before=(WITH_LENGTH,))

    async def test_a_failure_is_passed_on_only_when_it_is_whole(self):
        """Guards against a failure with the upstream's signature and another body than it sent."""
        await self.check_each_byte(FAILURE)

    async def test_a_rejection_that_breaks_off_in_its_head_is_no_promise(self):
        """Guards against a request that ran and is sent again, since it seemed rejected."""
        answer = WITH_LENGTH.replace(b"200 OK", b"503 Busy").replace(
            b"Response-Stamp: sig", b"Not-Executed: true"
        )
        await self.check_each_byte(answer[: answer.index(b"\r\n\r\n") + 4])


class CutStoreTests(IsolatedAsyncioTestCase):
    async def test_a_reply_of_the_store_is_used_only_when_it_is_whole(self):
        """Guards against a state of which the rest seems to be gone."""
        content = b'{"items":[],"currentRev":7}'
        reply = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
        store = await CutUpstream().start()
        self.addAsyncCleanup(store.stop)
        client = StoreClient(store.address)
        self.addAsyncCleanup(client.close)
        store.answers = (reply % (len(content), content),)
        for ending in Ending:
            store.ending = ending
            for sent_bytes in range(len(store.answers[0])):
                store.sent_bytes = sent_bytes
                with self.subTest(ending=ending.value, sent=sent_bytes):
                    await self.check_failed(client)
        store.sent_bytes = len(store.answers[0])
        self.assertEqual(((), 7), await client.read_all(ATTEMPT_MS))

    async def check_failed(self, client: StoreClient) -> None:
        with self.assertRaises(StoreError):
            await client.read_all(ATTEMPT_MS)
