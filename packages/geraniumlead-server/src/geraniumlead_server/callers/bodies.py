"""JSON bodies of callers' requests."""

from typing import Annotated

from msgspec import Meta, Raw, Struct

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]


class QueryBody(Struct, rename={"class_name": "class"}, forbid_unknown_fields=True):
    """The body of POST /v1/queries."""

    class_name: Name
    query: Raw
    key: Annotated[str, Meta(min_length=1, max_length=256)] | None = None
    deadline_ms: Annotated[int, Meta(ge=1, le=600_000)] | None = None
    least_coverage: Annotated[float, Meta(ge=0, le=1)] | None = None
    attempt: Annotated[int, Meta(ge=1, le=1000)] = 1
    ticket: Annotated[str, Meta(min_length=1, max_length=200)] | None = None


class TicketBody(Struct, rename={"class_name": "class"}, forbid_unknown_fields=True):
    """The body of POST /v1/tickets."""

    class_name: Name
