"""Spread heartbeats over many peers."""

from geraniumlead.beats.rotation import BeatRotation

__all__ = ["BeatRotation"]
