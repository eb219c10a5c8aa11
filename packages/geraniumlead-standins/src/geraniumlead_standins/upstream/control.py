from aiohttp import web
from msgspec.json import decode

from geraniumlead_standins.upstream.app import UpstreamApp


class ControlApp:
    """A web application with which tests set faults on the servers of a process.

    ``PUT /faults`` takes an object that maps upstream ids to the faults to change.
    """

    def __init__(self, servers: dict[str, UpstreamApp]) -> None:
        self._servers = servers

    def build(self) -> web.Application:
        """Return the web application."""
        app = web.Application()
        app.router.add_put("/faults", self._set_faults)
        return app

    async def _set_faults(self, request: web.Request) -> web.Response:
        for upstream_id, faults in decode(await request.read()).items():
            server = self._servers[upstream_id]
            server.slowdown = faults.get("slowdown", server.slowdown)
            server.is_draining = faults.get("draining", server.is_draining)
            server.is_silent = faults.get("silent", server.is_silent)
            server.answers_newest = faults.get("answers_newest", server.answers_newest)
            server.plan.holds = faults.get("holds", server.plan.holds)
            if "cold_answers" in faults:
                server.turn_cold(faults["cold_answers"])
        return web.json_response({})
