"""Tell the balancer whether to send callers here."""

import falcon

from geraniumlead_server.forwarding_driver import ForwardingDriver


class BalancerQuestion:
    """Answer 200 while the instance wants callers, else 503."""

    def __init__(self, driver: ForwardingDriver) -> None:
        self._driver = driver

    async def on_get(self, request, response) -> None:
        """Report readiness."""
        is_ready = self._driver.forwarder.is_ready
        response.status = falcon.HTTP_200 if is_ready else falcon.HTTP_503
        response.media = {"ready": is_ready}
