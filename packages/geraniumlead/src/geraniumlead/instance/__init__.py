"""An entry instance as a state machine without I/O."""

from geraniumlead.instance.instance import Instance
from geraniumlead.instance.status import InstanceStatus

__all__ = ["Instance", "InstanceStatus"]
