"""The product without one of its mechanisms."""

from bench.strategies import Strategy

__all__ = ["ablations"]


def ablations() -> dict[str, Strategy]:
    """Return the product without each mechanism, by the name of what is left out."""
    return {}
