"""Index of endpoints by loaded model and adapter."""

from collections.abc import Iterable
from random import Random

from cassiadrum.decisions.endpoint_reports import EndpointReport

__all__ = ["Capability", "CapabilityIndex", "capabilities_of"]

# A model and an adapter; an empty name matches any.
Capability = tuple[str, str]


def capabilities_of(rep: EndpointReport) -> frozenset[Capability]:
    """Return all capabilities that the endpoint's loaded models and adapters provide."""
    models = ("", *rep.models)
    adapters = ("", *rep.adapters)
    return frozenset((model, adapter) for model in models for adapter in adapters)


class CapabilityIndex:
    """Index of instances by capability.

    A random sample costs time proportional to its size, not to the number of instances.
    """

    def __init__(self) -> None:
        self._members: dict[Capability, list[str]] = {}
        self._positions: dict[Capability, dict[str, int]] = {}
        self._capabilities: dict[str, frozenset[Capability]] = {}

    def contains(self, instance: str, capability: Capability) -> bool:
        """Return whether the index lists the instance under the capability."""
        return instance in self._positions.get(capability, ())

    def count(self, capability: Capability) -> int:
        """Return the number of instances with the capability."""
        return len(self._members.get(capability, ()))

    def put(self, instance: str, capabilities: frozenset[Capability]) -> None:
        """Add an instance, or replace its capabilities."""
        old = self._capabilities.get(instance, frozenset())
        self._capabilities[instance] = capabilities
        if old != capabilities:
            self._remove(instance, old - capabilities)
            for capability in sorted(capabilities - old):
                members = self._members.setdefault(capability, [])
                self._positions.setdefault(capability, {})[instance] = len(members)
                members.append(instance)

    def discard(self, instance: str) -> None:
        """Remove an instance if it is present."""
        self._remove(instance, self._capabilities.pop(instance, frozenset()))

    def sample(self, capability: Capability, size: int, rng: Random) -> list[str]:
        """Return up to `size` distinct random instances with the capability."""
        members = self._members.get(capability, [])
        return list(members) if len(members) <= size else rng.sample(members, size)

    def _remove(self, instance: str, capabilities: Iterable[Capability]) -> None:
        for capability in capabilities:
            members, positions = self._members[capability], self._positions[capability]
            index = positions.pop(instance)
            last = members.pop()
            if last != instance:
                members[index] = last
                positions[last] = index
            if not members:
                del self._members[capability], self._positions[capability]
