"""Customers of the simulated deployments."""

from typing import NamedTuple

__all__ = ["CUSTOMERS", "Customer"]


class Customer(NamedTuple):
    """A customer's share of the requests and its answer length relative to the mean."""

    name: str
    share: float
    length_factor: float


# Ten customers, three of them large. The mean length factor weighted by the shares is 1.00.
CUSTOMERS = (
    Customer("c0", 0.28, 1.0),
    Customer("c1", 0.20, 1.3),
    Customer("c2", 0.16, 0.7),
    Customer("c3", 0.08, 1.4),
    Customer("c4", 0.07, 0.8),
    Customer("c5", 0.06, 0.6),
    Customer("c6", 0.05, 1.2),
    Customer("c7", 0.04, 1.0),
    Customer("c8", 0.03, 0.8),
    Customer("c9", 0.03, 0.7),
)
