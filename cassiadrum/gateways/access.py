"""Who may use the routes that are not public."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["Access", "Customer", "KeyedAccess", "OpenAccess"]


class Customer(NamedTuple):
    """The holder of a key; its `priority` has precedence over that of routes unless it is None."""

    name: str
    priority: int | None


class Access(ABC):
    """The part of a configuration that says which callers it admits.

    A configuration without a list of customers is open. One with a list, also with an empty one,
    admits the holders of its keys only. A list that cannot be read makes the whole configuration
    unreadable, so it never comes into force.
    """

    @property
    @abstractmethod
    def asks_for_key(self) -> bool:
        """Return whether a request needs a key."""

    @abstractmethod
    def customer(self, key: str | None) -> Customer | None:
        """Return the customer that holds a key; None for an unknown key, and without one."""


class OpenAccess(Access):
    """Access for all callers: the configuration has no list of customers."""

    @property
    def asks_for_key(self) -> bool:
        """Return False."""
        return False

    def customer(self, key: str | None) -> None:
        """Return None."""
        return


class KeyedAccess(Access):
    """Access for the holders of keys, which may be none.

    An empty text is not a key: otherwise a request with an empty header would be the customer's.
    """

    def __init__(self, customers_by_key: Mapping[str, Customer]) -> None:
        self._customers = {key: found for key, found in customers_by_key.items() if key}

    @property
    def asks_for_key(self) -> bool:
        """Return True."""
        return True

    def customer(self, key: str | None) -> Customer | None:
        """Return the customer that holds the key, None if nobody does."""
        return None if key is None else self._customers.get(key)
