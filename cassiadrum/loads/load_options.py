"""Options of a run of the load tool."""

from typing import NamedTuple

from cassiadrum.loads.load_mixes import LoadMix

__all__ = ["LoadOptions"]


class LoadOptions(NamedTuple):
    """The mix, where to send it and how; addresses are HOST:PORT.

    `instances` is the address of the instance list of the platform. Without it, the events and
    metrics of the processes are not read and are missing from the report. `scale` multiplies all
    rates. `standins` states that the engines are stand-ins, whose answers can be checked.
    """

    mix: LoadMix
    entries: tuple[str, ...]
    seed: int = 1
    scale: float = 1.0
    instances: str = ""
    admin_token: str = ""
    standins: bool = False
