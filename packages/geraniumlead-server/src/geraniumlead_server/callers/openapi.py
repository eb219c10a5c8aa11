"""Print the OpenAPI description: ``python -m geraniumlead_server.callers.openapi``."""

from msgspec.json import encode, format, schema_components

from geraniumlead.requests import MissingReason, RefusalReason
from geraniumlead_server.callers.bodies import QueryBody, TicketBody

_RESPONSE_BY_STATUS = {
    "200": ("a whole or partial answer", "Answer"),
    "400": ("the request is malformed, or was not run", "NotRun"),
    "401": ("no contract lists the credential", None),
    "403": ("the request was not run: the contract does not allow it", "NotRun"),
    "408": ("the request was not received completely in time", None),
    "410": ("the request was not run: the ticket expired", "NotRun"),
    "413": ("the body is too long", None),
    "422": ("the request was not run: too many shards", "NotRun"),
    "429": ("the request was not run: a limit of the contract was reached", "NotRun"),
    "431": ("the headers are too long", None),
    "503": ("the request was not run: the service cannot run it at present", "NotRun"),
    "504": ("the request failed, or its outcome is unknown", "Ended"),
}


def build_openapi() -> dict:
    """Return the OpenAPI 3.1 document."""
    (query, ticket), components = schema_components(
        [QueryBody, TicketBody], ref_template="#/components/schemas/{name}"
    )
    return {
        "openapi": "3.1.0",
        "info": {"title": "geraniumlead towards callers", "version": "1"},
        "security": [{"bearer": []}],
        "paths": {
            "/v1/queries": {"post": _build_query_operation(query)},
            "/v1/tickets": {"post": _build_ticket_operation(ticket)},
            "/ready": {"get": _build_ready_operation()},
        },
        "components": {
            "securitySchemes": {"bearer": {"type": "http", "scheme": "bearer"}},
            "schemas": components | _build_answer_schemas(),
        },
    }


def _build_query_operation(body: dict) -> dict:
    return {
        "summary": "Ask one query",
        "parameters": [
            {
                "name": "X-Request-Id",
                "in": "header",
                "schema": {"type": "string", "pattern": "^[A-Za-z0-9_.:-]{1,128}$"},
            }
        ],
        "requestBody": _json_content(body) | {"required": True},
        "responses": {
            status: {"description": text} | (_json_content(_ref(name)) if name else {})
            for status, (text, name) in _RESPONSE_BY_STATUS.items()
        },
    }


def _build_ticket_operation(body: dict) -> dict:
    return {
        "summary": "Get a ticket for one non-idempotent request",
        "requestBody": _json_content(body) | {"required": True},
        "responses": {
            "201": {"description": "a ticket"} | _json_content(_ref("Ticket")),
            "400": {"description": "the class needs no ticket"} | _json_content(_ref("NotRun")),
            "401": {"description": "no contract lists the credential"},
        },
    }


def _build_ready_operation() -> dict:
    return {
        "summary": "Tell the balancer whether to send requests here",
        "security": [],
        "responses": {
            "200": {"description": "the instance accepts requests"},
            "503": {"description": "the instance accepts no requests"},
        },
    }


def _build_answer_schemas() -> dict:
    number, text = {"type": "integer"}, {"type": "string"}
    missing = _object(shard=number, reason={"enum": [item.value for item in MissingReason]})
    coverage = _object(asked=number, answered=number, missing=_array(missing))
    return {
        "Coverage": coverage,
        "Answer": _object(
            outcome={"enum": ["whole", "partial"]},
            request_id=text,
            index_version=number,
            coverage=_ref("Coverage"),
            records=_array({}),
        ),
        "NotRun": _object(
            outcome={"const": "not_run"},
            request_id=text,
            reason={"enum": [item.value for item in RefusalReason]},
        )
        | {"description": "retry_after_ms is present if it is known"},
        "Ended": _object(outcome={"enum": ["failed", "unknown"]}, request_id=text, detail=text)
        | {"description": "coverage may be present if the outcome is failed"},
        "Ticket": _object(ticket=text, valid_ms={"type": "number"}),
    }


def _object(**properties: dict) -> dict:
    return {"type": "object", "properties": properties, "required": list(properties)}


def _array(items: dict) -> dict:
    return {"type": "array", "items": items}


def _ref(name: str) -> dict:
    return {"$ref": f"#/components/schemas/{name}"}


def _json_content(schema: dict) -> dict:
    return {"content": {"application/json": {"schema": schema}}}


def render_openapi() -> bytes:
    """Return the text of docs/reference/openapi.json."""
    return format(encode(build_openapi()), indent=2) + b"\n"


if __name__ == "__main__":
    print(render_openapi().decode(), end="")
