from collections.abc import Iterable

from geraniumlead.routes.route import Route


class RouteTable:
    """The routes of one configuration, looked up by host and longest path prefix.

    A lookup costs one hash for each slash of the path, however many routes there are.
    """

    __slots__ = ("_by_host",)

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path; None when there is none.

        A host with a port falls back to the routes of the host without the port.
        """
        prefixes = self._by_host.get(host) or self._by_host.get(host.partition(":")[0])
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def __iter__(self):
        """Iterate over all routes."""
        for prefixes in self._by_host.values():
            yield from prefixes.values()
