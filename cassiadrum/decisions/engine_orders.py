"""An order to an engine."""

from typing import NamedTuple

from cassiadrum.decisions.order_kinds import OrderKind

__all__ = ["EngineOrder"]


class EngineOrder(NamedTuple):
    """An order to the engine `instance` to make one change.

    `model`, `adapter`, `version` and `role` describe the engine after the change. `replaces` is
    the model or adapter to unload first, empty for none. For MOVE_KV_CACHE, `source` is the engine
    to import from and `prefix_key` the prefix to import. `load_bytes` is the number of bytes that
    the order reads from the weight store.
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
