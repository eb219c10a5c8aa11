"""Dispatching of subqueries to the upstreams that this instance owns."""

from geraniumlead.dispatch.dispatcher import Dispatcher
from geraniumlead.dispatch.steps import DispatchStep, EndCall, NotifyOwners, StartCall, StopCall

__all__ = ["DispatchStep", "Dispatcher", "EndCall", "NotifyOwners", "StartCall", "StopCall"]
