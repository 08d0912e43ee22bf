"""Network address."""

import ipaddress
import re
from typing import Final, NamedTuple

__all__ = ["Address"]

# int() also accepts signs, spaces, underscores and digits of other scripts.
PORT: Final = re.compile(r"[0-9]{1,5}", re.ASCII)
MAX_PORT: Final = 65_535


class Address(NamedTuple):
    """IP address and TCP port; with port 0 the operating system chooses a free port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse an address of the form HOST:PORT or [HOST]:PORT."""
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))

    @classmethod
    def parse_peer(cls, text: str) -> "Address":
        """Parse the address of a process that can be connected to; raise ValueError.

        The host has to be a numeric address of one machine: a name would be looked up, which
        other tasks would wait for, and the unspecified address is this machine.
        """
        host, _, port = text.rpartition(":")
        bracketed = host.startswith("[") and host.endswith("]")
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
        if bracketed != (ip.version == 6) or "%" in host:
            raise ValueError(f"{text[:80]!r} is not IP:PORT or [IPV6]:PORT")
        if ip.is_unspecified or ip.is_multicast or (ip.version == 4 and ip.is_reserved):
            raise ValueError(f"{text[:80]!r} is not the address of one machine")
        if PORT.fullmatch(port) is None or not 0 < int(port) <= MAX_PORT:
            raise ValueError(f"the port of {text[:80]!r} is not a number from 1 to {MAX_PORT}")
        return cls(str(ip), int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
