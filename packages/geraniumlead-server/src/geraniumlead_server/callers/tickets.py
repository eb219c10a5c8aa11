"""Serve POST /v1/tickets."""

from uuid import uuid4

import falcon
from msgspec.json import Decoder

from geraniumlead.events import TicketRequested
from geraniumlead_server.callers.bodies import TicketBody
from geraniumlead_server.callers.credentials import authenticate_customer
from geraniumlead_server.callers.rendering import render_outcome
from geraniumlead_server.callers.request_body import read_body
from geraniumlead_server.driver import InstanceDriver

_DECODER = Decoder(TicketBody)


class TicketsResource:
    """The falcon resource that issues tickets for non-idempotent requests."""

    def __init__(self, driver: InstanceDriver) -> None:
        self._driver = driver

    async def on_post(self, request, response) -> None:
        """Issue one ticket."""
        customer = authenticate_customer(self._driver, request)
        limit_bytes = self._driver.instance.parts.settings.limits.body_bytes
        body = await read_body(request, _DECODER, limit_bytes)
        request_id = uuid4().hex
        answer = await self._driver.request_ticket(
            TicketRequested(request_id, customer, body.class_name)
        )
        if answer.refusal is not None:
            render_outcome(response, request_id, answer.refusal)
            return
        response.status = falcon.HTTP_201
        response.media = {"ticket": answer.ticket, "valid_ms": answer.valid_ms}
