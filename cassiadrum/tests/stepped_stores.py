"""A fake table store whose operations wait until the test executes them."""

from collections.abc import Callable, Coroutine, Generator, Sequence
from enum import Enum
from typing import Any, Generic, TypeVar

from hypothesis import strategies as st

from cassiadrum.standins import TableRows
from cassiadrum.stores import (
    LIST_ROWS,
    Done,
    ObjectStore,
    Refused,
    Row,
    RowPage,
    StoreUnavailable,
    TableStore,
    TableWrite,
    Unknown,
    WriteResult,
)

T = TypeVar("T")


class Fault(Enum):
    """Result of one operation; a read fails with any fault except NONE."""

    NONE = "applied and answered"
    REFUSED = "not applied, and told so"
    ANSWER_LOST = "applied, answer lost"
    DROPPED = "never applied, answer lost"
    DELAYED = "applied at a later time, answer lost"


# Faults of consecutive operations. Most operations succeed: if nearly all of them fail, a sequence
# ends before two processes access the same row.
FAULT_RUNS = st.lists(st.sampled_from([*[Fault.NONE] * 8, *Fault]), min_size=1, max_size=6)


class Operation:
    """An awaited store operation; the test sends its result into the coroutine."""

    def __init__(self, apply: Callable[[], Any], is_write: bool) -> None:
        self.apply = apply
        self.is_write = is_write

    def __await__(self) -> Generator["Operation", Any, Any]:
        result = yield self
        if isinstance(result, Exception):
            raise result
        return result


class SteppedStore(TableStore):
    """Rows in memory; the test applies delayed writes in any order."""

    def __init__(self) -> None:
        self.rows = TableRows()
        self.delayed: list[Callable[[], Any]] = []

    async def get(self, table: str, key: str) -> Row | None:
        found: Row | None = await Operation(lambda: self.rows.get(table, key), False)
        return found

    async def list(
        self,
        table: str,
        prefix: str = "",
        *,
        limit: int = LIST_ROWS,
        after: str = "",
        fields: Sequence[str] = (),
    ) -> RowPage:
        def apply() -> RowPage:
            return self.rows.list(table, prefix, limit=limit, after=after, fields=fields)

        page: RowPage = await Operation(apply, False)
        return page

    async def write(self, writes: Sequence[TableWrite]) -> WriteResult:
        result: WriteResult = await Operation(lambda: self.rows.write(writes), True)
        return result

    def deliver(self, index: int) -> None:
        """Apply one delayed write."""
        self.delayed.pop(index % len(self.delayed))()

    def carry_out(self, operation: Operation, fault: Fault) -> Any:
        """Execute an operation with a fault and return what its caller receives."""
        if fault is Fault.NONE:
            return operation.apply()
        if not operation.is_write:
            return StoreUnavailable(fault.value)
        if fault is Fault.REFUSED:
            return Refused(fault.value)
        if fault is Fault.ANSWER_LOST:
            operation.apply()
        elif fault is Fault.DELAYED:
            self.delayed.append(operation.apply)
        return Unknown(fault.value)


class Stepped(Generic[T]):
    """Run a coroutine from one store operation to the next."""

    def __init__(self, store: SteppedStore, coro: Coroutine[Any, Any, T]) -> None:
        self._store = store
        self._coro = coro
        self._operation: Operation | None = None
        self.result: T | None = None
        self.done = False
        self._send(None)

    def steps(self, faults: Sequence[Fault]) -> bool:
        """Execute one operation for each fault and return whether the coroutine has ended."""
        for fault in faults:
            if not self.done:
                self.step(fault)
        return self.done

    def step(self, fault: Fault = Fault.NONE) -> bool:
        """Execute the awaited operation and return whether the coroutine has ended."""
        assert self._operation is not None
        self._send(self._store.carry_out(self._operation, fault))
        return self.done

    def finish(self) -> T:
        """Execute the remaining operations without faults and return the result."""
        while not self.done:
            self.step()
        return self.result  # type: ignore[return-value]

    def close(self) -> None:
        """End the coroutine at its current operation, as in a crash of its process."""
        self._coro.close()
        self.done = True

    def _send(self, value: Any) -> None:
        try:
            self._operation = self._coro.send(value)
        except StopIteration as exc:
            self.done, self.result = True, exc.value


class MemoryObjects(ObjectStore):
    """Objects in memory; every operation fails while `down` is set."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.down = False

    async def get(self, key: str) -> bytes | None:
        if self.down:
            raise StoreUnavailable("down")
        return self.objects.get(key)

    async def put(self, key: str, data: bytes) -> WriteResult:
        if self.down:
            return Refused("down")
        self.objects[key] = data
        return Done()

    async def delete(self, key: str) -> WriteResult:
        if self.down:
            return Refused("down")
        self.objects.pop(key, None)
        return Done()


async def no_pause(_: float) -> None:
    """Return at once in place of a sleep."""
