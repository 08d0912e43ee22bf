"""An order to an engine."""

from typing import NamedTuple

from cassiadrum.decisions.order_kinds import OrderKind

__all__ = ["EngineOrder"]


class EngineOrder(NamedTuple):
    """State one change that the engine `instance` is to make.

    `model`, `adapter`, `version` and `role` are what the engine has afterwards, `replaces` is the
    model or adapter that it unloads first, empty for none. `source` and `prefix_key` belong to
    MOVE_KV_CACHE: the engine to import from and what to import. `load_bytes` is what the order
    reads from the weight store.
    """

    kind: OrderKind
    instance: str
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""
    replaces: str = ""
    source: str = ""
    prefix_key: int = 0
    load_bytes: int = 0
