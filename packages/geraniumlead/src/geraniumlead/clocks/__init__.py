"""Compare the clocks of instances by their messages."""

from geraniumlead.clocks.clock_offset import ClockOffset

__all__ = ["ClockOffset"]
