from random import Random

from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.routes import FanOut, OneService, Route, SplitChooser, SplitServices


class RequestServices:
    """Resolves a route's target to the services of one request."""

    __slots__ = ("_random", "_splits")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._splits: dict[str, SplitChooser] = {}

    def of_request(self, request: ForwardedRequest, route: Route) -> tuple[str, ...]:
        """Return the services; a split route advances its weighted choice by one."""
        if request.is_delegated:
            return request.shards
        match route.target:
            case OneService(service=service):
                return (service,)
            case SplitServices() as target:
                chooser = self._splits.get(route.name)
                if chooser is None:
                    chooser = self._splits[route.name] = SplitChooser(self._random)
                service = chooser.choose(target)
                return () if service is None else (service,)
            case FanOut(shards=shards):
                return shards
