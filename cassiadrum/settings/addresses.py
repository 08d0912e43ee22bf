"""A host and port."""

from typing import NamedTuple

__all__ = ["Address"]


class Address(NamedTuple):
    """Name an IP address and a TCP port; port 0 lets the system choose."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address in `text`, which has the form HOST:PORT or [HOST]:PORT."""
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
