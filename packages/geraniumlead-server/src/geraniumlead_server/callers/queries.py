"""Serve POST /v1/queries."""

import re
from uuid import uuid4

import falcon
from msgspec.json import Decoder

from geraniumlead.events import QueryArrived
from geraniumlead.requests import CallerRequest
from geraniumlead_server.callers.bodies import QueryBody
from geraniumlead_server.callers.credentials import authenticate_customer
from geraniumlead_server.callers.rendering import render_outcome
from geraniumlead_server.callers.request_body import read_body
from geraniumlead_server.driver import InstanceDriver

REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9_.:-]{1,128}")

_DECODER = Decoder(QueryBody)


class QueriesResource:
    """The falcon resource that runs callers' queries."""

    def __init__(self, driver: InstanceDriver) -> None:
        self._driver = driver

    async def on_post(self, request, response) -> None:
        """Run one query and respond with its final outcome."""
        customer = authenticate_customer(self._driver, request)
        limit_bytes = self._driver.instance.parts.settings.limits.body_bytes
        body = await read_body(request, _DECODER, limit_bytes)
        caller_request = self._build_request(request, customer, body)
        answer = await self._driver.run_query(QueryArrived(caller_request))
        render_outcome(response, caller_request.request_id, answer.outcome)

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
        # A caller may repeat its identifier, for instance in a retry; request_id must be unique.
        caller_request_id = request.get_header("X-Request-Id")
        if caller_request_id and not REQUEST_ID_PATTERN.fullmatch(caller_request_id):
            raise falcon.HTTPBadRequest(title="X-Request-Id is malformed")
        unique_id = uuid4().hex
        return CallerRequest(
            request_id=f"{caller_request_id}.{unique_id}" if caller_request_id else unique_id,
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
