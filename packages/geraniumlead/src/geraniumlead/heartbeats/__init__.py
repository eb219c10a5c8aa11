"""Rotation of heartbeats over many peers."""

from geraniumlead.heartbeats.rotation import HeartbeatRotation

__all__ = ["HeartbeatRotation"]
