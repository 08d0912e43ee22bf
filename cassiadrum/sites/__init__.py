"""Complete site on loopback, in one process with its stand-ins, for the demo and tests."""

from cassiadrum.sites.local_sites import LocalSite
from cassiadrum.sites.site_endpoints import SiteEndpoint

__all__ = ["LocalSite", "SiteEndpoint"]
