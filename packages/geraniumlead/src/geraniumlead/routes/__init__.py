"""Routes and services of the operators' configuration, and the lookup of a request's route."""

from geraniumlead.routes.configuration import PublishedConfiguration
from geraniumlead.routes.request_limits import RequestLimits
from geraniumlead.routes.route import Route
from geraniumlead.routes.route_table import RouteTable
from geraniumlead.routes.service import UpstreamService
from geraniumlead.routes.split_chooser import SplitChooser
from geraniumlead.routes.targets import FanOut, OneService, RouteTarget, SplitServices

__all__ = [
    "FanOut",
    "OneService",
    "PublishedConfiguration",
    "RequestLimits",
    "Route",
    "RouteTable",
    "RouteTarget",
    "SplitChooser",
    "SplitServices",
    "UpstreamService",
]
