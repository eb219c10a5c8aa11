"""Serve POST /v1/tickets."""

from uuid import uuid4

import falcon
from msgspec.json import Decoder

from geraniumlead.events import TicketRequested
from geraniumlead_server.callers.bodies import TicketBody
from geraniumlead_server.callers.credentials import find_customer
from geraniumlead_server.callers.reading import read_body
from geraniumlead_server.callers.rendering import render_outcome
from geraniumlead_server.driver import InstanceDriver

_DECODER = Decoder(TicketBody)


class TicketsResource:
    """Give out tickets for non-idempotent requests."""

    def __init__(self, driver: InstanceDriver) -> None:
        self._driver = driver

    async def on_post(self, request, response) -> None:
        """Give one ticket."""
        customer = find_customer(self._driver, request)
        limit_bytes = self._driver.instance.parts.settings.limits.body_bytes
        body = await read_body(request, _DECODER, limit_bytes)
        request_id = uuid4().hex
        given = await self._driver.ask_ticket(
            TicketRequested(request_id, customer, body.class_name)
        )
        if given.refusal is not None:
            render_outcome(response, request_id, given.refusal)
            return
        response.status = falcon.HTTP_201
        response.media = {"ticket": given.ticket, "valid_ms": given.valid_ms}
