"""Example documents for tests of a whole site."""

from pathlib import Path

__all__ = ["EXAMPLES", "example"]

EXAMPLES = Path(__file__).parents[2] / "examples"


def example(name: str) -> str:
    """Return the text of an example document."""
    return (EXAMPLES / f"{name}.toml").read_text()
