"""Clients of the platform's stores; each write reports done, not done or unknown."""

from cassiadrum.stores.circuit_breakers import CircuitBreaker
from cassiadrum.stores.errors import StoreError, StoreUnavailable
from cassiadrum.stores.http_instance_lists import HttpInstanceList
from cassiadrum.stores.http_object_stores import HttpObjectStore
from cassiadrum.stores.http_table_stores import HttpTableStore
from cassiadrum.stores.http_weight_stores import HttpWeightStore
from cassiadrum.stores.instance_lists import InstanceList
from cassiadrum.stores.instances import Instance
from cassiadrum.stores.object_stores import ObjectStore
from cassiadrum.stores.row_pages import RowPage
from cassiadrum.stores.rows import Row
from cassiadrum.stores.store_budgets import StoreBudget
from cassiadrum.stores.store_transports import StoreTransport
from cassiadrum.stores.table_stores import BATCH_WRITES, LIST_ROWS, TableStore
from cassiadrum.stores.table_writes import TableWrite
from cassiadrum.stores.token_buckets import TokenBucket
from cassiadrum.stores.weight_stores import WeightStore
from cassiadrum.stores.write_results import Conflict, Done, Refused, Unknown, WriteResult

__all__ = [
    "BATCH_WRITES",
    "LIST_ROWS",
    "CircuitBreaker",
    "Conflict",
    "Done",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpTableStore",
    "HttpWeightStore",
    "Instance",
    "InstanceList",
    "ObjectStore",
    "Refused",
    "Row",
    "RowPage",
    "StoreBudget",
    "StoreError",
    "StoreTransport",
    "StoreUnavailable",
    "TableStore",
    "TableWrite",
    "TokenBucket",
    "Unknown",
    "WeightStore",
    "WriteResult",
]
