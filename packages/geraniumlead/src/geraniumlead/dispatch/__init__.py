"""Run subqueries on the upstreams that this instance owns."""

from geraniumlead.dispatch.dispatcher import Dispatcher
from geraniumlead.dispatch.steps import DispatchStep, EndCall, StartCall, StopCall, TellOwners

__all__ = ["DispatchStep", "Dispatcher", "EndCall", "StartCall", "StopCall", "TellOwners"]
