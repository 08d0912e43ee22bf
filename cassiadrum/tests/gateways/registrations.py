"""Gateways that register in a model of the store's table."""

from collections.abc import Callable

from cassiadrum.gateways import Fleet, FleetMember

OUTDATED_S = 5.0
LEASE_S = 60.0

# The rows of the table by the name of the gateway.
Rows = dict[str, FleetMember]


class Registration:
    """A gateway with its own list of members, and its row in the store."""

    def __init__(self, name: str, rows: Rows, clock: Callable[[], float]) -> None:
        self.name = name
        self.fleet = Fleet(name, OUTDATED_S, clock)
        self.joined_s = clock()
        self.expires_s = clock() + LEASE_S
        self._rows = rows
        self._clock = clock

    def write(self) -> None:
        """Write the row."""
        self._rows[self.name] = FleetMember(self.name, self.joined_s + OUTDATED_S, self.expires_s)

    def read(self) -> None:
        """Read all rows."""
        self.fleet.replace(self._rows.values(), 0.0)
        self.fleet.confirm(self._clock())
