"""Kinds of orders to engines."""

from enum import StrEnum

__all__ = ["OrderKind"]


class OrderKind(StrEnum):
    """Kind of change that an engine is ordered to make."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_VERSION = "change_version"
    CHANGE_ROLE = "change_role"
    MOVE_KV_CACHE = "move_kv_cache"
