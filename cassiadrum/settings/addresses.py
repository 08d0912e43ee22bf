"""Network address."""

from typing import NamedTuple

__all__ = ["Address"]


class Address(NamedTuple):
    """IP address and TCP port; with port 0 the operating system chooses a free port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse an address of the form HOST:PORT or [HOST]:PORT."""
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
