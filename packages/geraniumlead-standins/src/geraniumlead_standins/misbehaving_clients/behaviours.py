"""Build the scripts of each way in which clients don't behave."""

from collections.abc import Callable

from geraniumlead_standins.misbehaving_clients.client_script import ClientScript, Ending
from geraniumlead_standins.misbehaving_clients.deployment_names import (
    BIG_PATH,
    HOST,
    HUGE_PATH,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MISBEHAVED_PATHS,
)

CHUNKED = b"Transfer-Encoding: chunked\r\n"
LAST_CHUNK = b"0\r\n\r\n"
SMALL_CHUNK_BYTES = 2
PIECE_BYTES = 600
PIECE_PAUSE_S = 0.004
SLOW_PAUSE_S = 0.5
OVER_LIMIT_BYTES = 10 * 1024**3
SENT_AT_ONCE_BYTES = 65_536
REQUESTS_AT_ONCE = 100
EMPTY_FIELD = b"a:\r\n"

Builder = Callable[[str], ClientScript]


def build_head(path: str, fields: bytes = b"", method: str = "POST") -> bytes:
    """Return the head of a request of a client that is known to the route."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: bad\r\nDeadline-Ms: 3000\r\n"
    ).encode() + (fields + b"\r\n")


def length_field(size_bytes: int) -> bytes:
    return b"Content-Length: %d\r\n" % size_bytes


def chunk(data: bytes, extension: bytes = b"") -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


def whole_body(path: str) -> ClientScript:
    """The largest body that is allowed, in one piece."""
    return ClientScript(build_head(path, length_field(MAX_BODY_BYTES)) + b"x" * MAX_BODY_BYTES)


def one_byte_short(path: str) -> ClientScript:
    """A body that stops before its last byte."""
    return ClientScript(whole_body(path).start[:-1], Ending.STAY)


def chunked_body(path: str, chunk_bytes: int) -> ClientScript:
    """The largest body that is allowed, in chunks of one size."""
    chunks = chunk(b"x" * chunk_bytes) * (MAX_BODY_BYTES // chunk_bytes)
    return ClientScript(build_head(path, CHUNKED), end=chunks + LAST_CHUNK)


def small_chunks(path: str) -> ClientScript:
    """The largest body that is allowed, in chunks of two bytes."""
    return chunked_body(path, SMALL_CHUNK_BYTES)


def small_pieces(path: str) -> ClientScript:
    """A body in small pieces, each a few milliseconds after the other."""
    pieces = MAX_BODY_BYTES // PIECE_BYTES
    return ClientScript(
        build_head(path, length_field(MAX_BODY_BYTES)),
        piece=b"x" * PIECE_BYTES,
        pieces=pieces,
        pause_s=PIECE_PAUSE_S,
        end=b"x" * (MAX_BODY_BYTES - pieces * PIECE_BYTES),
    )


def declared_over_limit(path: str) -> ClientScript:
    """A body of gigabytes whose length is declared."""
    return ClientScript(
        build_head(path, length_field(OVER_LIMIT_BYTES)),
        piece=b"x" * SENT_AT_ONCE_BYTES,
        pieces=None,
    )


def chunked_over_limit(path: str) -> ClientScript:
    """A body of gigabytes in chunks."""
    return ClientScript(
        build_head(path, CHUNKED), piece=chunk(b"x" * SENT_AT_ONCE_BYTES), pieces=None
    )


def many_fields(path: str) -> ClientScript:
    """A head of the largest size that is allowed, of empty fields."""
    head = build_head(path, method="GET")
    count = (MAX_HEADER_BYTES - len(head)) // len(EMPTY_FIELD)
    return ClientScript(build_head(path, EMPTY_FIELD * count, "GET"))


def requests_ahead(path: str) -> ClientScript:
    """Requests without end whose answers are not read."""
    request = build_head(path, method="GET")
    return ClientScript(b"", Ending.IGNORE, request * REQUESTS_AT_ONCE, None)


def bare_requests_ahead(path: str) -> ClientScript:
    """The shortest requests without end, whose answers are not read."""
    return ClientScript(b"", Ending.IGNORE, b"GET / HTTP/1.1\r\n\r\n" * REQUESTS_AT_ONCE, None)


def slow_sender(path: str) -> ClientScript:
    """A head of which a byte comes now and then."""
    return ClientScript(
        build_head(path, method="GET")[:-2] + b"X-Slow: ",
        Ending.STAY,
        piece=b"x",
        pieces=None,
        pause_s=SLOW_PAUSE_S,
    )


def one_request_and_stay(path: str) -> ClientScript:
    """One request, after which the connection stays open."""
    return ClientScript(build_head(path, method="GET"), Ending.STAY)


def unread_answer(path: str) -> ClientScript:
    """A request with a large answer that is not read."""
    return ClientScript(build_head(BIG_PATH, method="GET"), Ending.IGNORE)


def unread_huge_answer(path: str) -> ClientScript:
    """A request with an answer of nearly the largest size that an upstream may send, not read."""
    return ClientScript(build_head(HUGE_PATH, method="GET"), Ending.IGNORE)


def expecting(path: str) -> ClientScript:
    """A head that asks whether the body may come, and no body."""
    fields = length_field(MAX_BODY_BYTES) + b"Expect: 100-continue\r\n"
    return ClientScript(build_head(path, fields), Ending.STAY)


def trailers(path: str) -> ClientScript:
    """Fields without end behind a body."""
    return ClientScript(
        build_head(path, CHUNKED) + chunk(b"x") + b"0\r\n",
        piece=EMPTY_FIELD * (SENT_AT_ONCE_BYTES // len(EMPTY_FIELD)),
        pieces=None,
    )


def chunk_extensions(path: str) -> ClientScript:
    """A chunk whose extension has no end."""
    return ClientScript(
        build_head(path, CHUNKED) + b"1;", piece=b"x" * SENT_AT_ONCE_BYTES, pieces=None
    )


def folded_lines(path: str) -> ClientScript:
    """A field whose value goes on over many lines."""
    return ClientScript(build_head(path, b"X-Folded: a\r\n" + b" b\r\n" * 1_000, "GET"))


def head_in_single_bytes(path: str) -> ClientScript:
    """A long head in single bytes, without a pause."""
    head = build_head(path, b"X-Long: " + b"x" * 2_000 + b"\r\n", "GET")
    return ClientScript(head[:-2_000], piece=b"x", pieces=1_900, pause_s=0.001, end=head[-4:])


def leaving_in_body(path: str) -> ClientScript:
    """A client that leaves half-way through a body."""
    return ClientScript(whole_body(path).start[: MAX_BODY_BYTES // 2], Ending.LEAVE)


def leaving_in_head(path: str) -> ClientScript:
    """A client that leaves half-way through a head."""
    return ClientScript(build_head(path)[:-10], Ending.LEAVE)


def leaving_after_request(path: str) -> ClientScript:
    """A client that leaves before its answer."""
    return ClientScript(build_head(path, method="GET"), Ending.LEAVE)


BEHAVIOURS: dict[str, Builder] = {
    builder.__name__: builder
    for builder in (
        whole_body,
        one_byte_short,
        small_chunks,
        small_pieces,
        declared_over_limit,
        chunked_over_limit,
        many_fields,
        requests_ahead,
        bare_requests_ahead,
        slow_sender,
        one_request_and_stay,
        unread_answer,
        unread_huge_answer,
        expecting,
        trailers,
        chunk_extensions,
        folded_lines,
        head_in_single_bytes,
        leaving_in_body,
        leaving_in_head,
        leaving_after_request,
    )
}


def build_script(behaviour: str, number: int) -> ClientScript:
    """Return the script of one client; the clients are spread over the paths."""
    return BEHAVIOURS[behaviour](MISBEHAVED_PATHS[number % len(MISBEHAVED_PATHS)])
