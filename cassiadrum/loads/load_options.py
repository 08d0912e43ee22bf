"""What a run of the load tool needs."""

from typing import NamedTuple

from cassiadrum.loads.load_mixes import LoadMix

__all__ = ["LoadOptions"]


class LoadOptions(NamedTuple):
    """State where a mix is sent; addresses are HOST:PORT.

    `instances` is the address of the platform's instance list; with it, events and metrics of
    the processes are read, otherwise they are left out of the report. `scale` multiplies all
    rates. `standins` states that the engines are stand-ins, whose answers can be checked.
    """

    mix: LoadMix
    entries: tuple[str, ...]
    seed: int = 1
    scale: float = 1.0
    instances: str = ""
    admin_token: str = ""
    standins: bool = False
