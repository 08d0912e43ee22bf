"""Daemon processes on loopback, with fault-injecting proxies on the hops between them."""

from cassiadrum.tests.harness.callers import Answer, StreamCaller, call
from cassiadrum.tests.harness.child_processes import ChildProcess
from cassiadrum.tests.harness.event_collectors import EventCollector
from cassiadrum.tests.harness.fault_proxies import Direction, FaultProxy
from cassiadrum.tests.harness.process_sites import ProcessSite
from cassiadrum.tests.harness.raw_links import RawLink
from cassiadrum.tests.harness.waits import until

__all__ = [
    "Answer",
    "ChildProcess",
    "Direction",
    "EventCollector",
    "FaultProxy",
    "ProcessSite",
    "RawLink",
    "StreamCaller",
    "call",
    "until",
]
