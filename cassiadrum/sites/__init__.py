"""A whole site on loopback with embedded stand-ins, for the demo and for tests."""

from cassiadrum.sites.local_sites import LocalSite
from cassiadrum.sites.site_endpoints import SiteEndpoint

__all__ = ["LocalSite", "SiteEndpoint"]
