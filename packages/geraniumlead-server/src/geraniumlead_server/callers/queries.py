"""Serve POST /v1/queries."""

import re
from uuid import uuid4

import falcon
from msgspec.json import Decoder

from geraniumlead.events import QueryArrived
from geraniumlead.requests import CallerRequest
from geraniumlead_server.callers.bodies import QueryBody
from geraniumlead_server.callers.credentials import find_customer
from geraniumlead_server.callers.reading import read_body
from geraniumlead_server.callers.rendering import render_outcome
from geraniumlead_server.driver import InstanceDriver

REQUEST_ID = re.compile(r"[A-Za-z0-9_.:-]{1,128}")

_DECODER = Decoder(QueryBody)


class QueriesResource:
    """Answer queries."""

    def __init__(self, driver: InstanceDriver) -> None:
        self._driver = driver

    async def on_post(self, request, response) -> None:
        """Answer one query with its final outcome."""
        customer = find_customer(self._driver, request)
        limit_bytes = self._driver.instance.parts.settings.limits.body_bytes
        body = await read_body(request, _DECODER, limit_bytes)
        asked = self._build_request(request, customer, body)
        answer = await self._driver.ask(QueryArrived(asked))
        render_outcome(response, asked.request_id, answer.outcome)

    def _build_request(self, request, customer: str, body: QueryBody) -> CallerRequest:
        traffic_class = self._driver.instance.parts.find_traffic_class(customer, body.class_name)
        if traffic_class is None:
            raise falcon.HTTPBadRequest(title=f"the contract has no class {body.class_name!r}")
        if body.least_coverage is None:
            least_coverage = traffic_class.least_coverage
        else:
            least_coverage = body.least_coverage
        allowed_ms = min(body.deadline_ms or traffic_class.deadline_ms, traffic_class.deadline_ms)
        now_ms = self._driver.now_ms()
        # The caller's own identifier may repeat, for a retry; ours must not.
        given_id = request.get_header("X-Request-Id")
        if given_id and not REQUEST_ID.fullmatch(given_id):
            raise falcon.HTTPBadRequest(title="X-Request-Id is malformed")
        unique = uuid4().hex
        return CallerRequest(
            request_id=f"{given_id}.{unique}" if given_id else unique,
            customer=customer,
            class_name=body.class_name,
            query=bytes(body.query),
            arrived_ms=now_ms,
            deadline_ms=now_ms + allowed_ms,
            least_coverage=least_coverage,
            key=body.key,
            attempt=body.attempt,
            ticket=body.ticket,
        )
