"""An endpoint as it registered itself."""

from typing import NamedTuple

from cassiadrum.settings.addresses import Address

__all__ = ["EndpointEntry", "Incarnation"]


class Incarnation(NamedTuple):
    """Identify one start of an endpoint at one address."""

    instance: str
    address: Address
    started_ms: int


class EndpointEntry(NamedTuple):
    """Describe a registered endpoint; `cold_s` is how much longer it stays slow."""

    instance: str
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    started_ms: int
    cold_s: float

    @property
    def incarnation(self) -> Incarnation:
        """Return the identity that connections and beliefs belong to."""
        return Incarnation(self.instance, self.address, self.started_ms)
