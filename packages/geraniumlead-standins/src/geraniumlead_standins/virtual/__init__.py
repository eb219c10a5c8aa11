"""Run instances in virtual time against fake upstreams, links and a fake platform."""

from geraniumlead_standins.virtual.event_queue import EventQueue
from geraniumlead_standins.virtual.fake_link import FakeLink
from geraniumlead_standins.virtual.fake_platform import FakePlatform
from geraniumlead_standins.virtual.fake_upstream import FakeUpstream
from geraniumlead_standins.virtual.virtual_run import VirtualRun

__all__ = ["EventQueue", "FakeLink", "FakePlatform", "FakeUpstream", "VirtualRun"]
