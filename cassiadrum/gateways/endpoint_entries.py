"""The registration of an endpoint."""

from typing import NamedTuple

from cassiadrum.settings.addresses import Address

__all__ = ["EndpointEntry", "Incarnation"]


class Incarnation(NamedTuple):
    """Identity of one start of an endpoint at one address."""

    instance: str
    address: Address
    started_ms: int


class EndpointEntry(NamedTuple):
    """A registered endpoint; `cold_s` is the time in seconds for which it will still be slow.

    `version` is that of the endpoint's software, empty if the registration states none.
    """

    instance: str
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    started_ms: int
    cold_s: float
    version: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """Return the identity to which connections and views belong."""
        return Incarnation(self.instance, self.address, self.started_ms)
