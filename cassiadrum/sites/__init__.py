"""A whole site on loopback with embedded stand-ins, for the demo and for tests."""

from cassiadrum.sites.endpoint_slots import EndpointSlot
from cassiadrum.sites.local_sites import LocalSite

__all__ = ["EndpointSlot", "LocalSite"]
