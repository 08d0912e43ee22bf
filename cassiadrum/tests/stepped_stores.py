"""A fake table store whose every operation waits for the test to carry it out."""

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
    """What happens to one operation; a read fails under every fault."""

    NONE = "applied and answered"
    REFUSED = "not applied, and told so"
    ANSWER_LOST = "applied, answer lost"
    DROPPED = "never applied, answer lost"
    DELAYED = "applied at a later time, answer lost"


# Faults of consecutive operations. Most operations succeed: a sequence in which nearly every one
# fails ends before two processes ever meet on a row.
FAULT_RUNS = st.lists(st.sampled_from([*[Fault.NONE] * 8, *Fault]), min_size=1, max_size=6)


class Operation:
    """One awaited operation; the test sends its result into the coroutine."""

    def __init__(self, apply: Callable[[], Any], is_write: bool) -> None:
        self.apply = apply
        self.is_write = is_write

    def __await__(self) -> Generator["Operation", Any, Any]:
        result = yield self
        if isinstance(result, Exception):
            raise result
        return result


class SteppedStore(TableStore):
    """Rows in memory; writes under way may arrive in any order."""

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
        """Return what the caller of an operation sees under a fault."""
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
        """Carry out one operation for each fault and tell whether the coroutine ended."""
        for fault in faults:
            if not self.done:
                self.step(fault)
        return self.done

    def step(self, fault: Fault = Fault.NONE) -> bool:
        """Carry out the operation waited for and tell whether the coroutine ended."""
        assert self._operation is not None
        self._send(self._store.carry_out(self._operation, fault))
        return self.done

    def finish(self) -> T:
        """Carry out all operations without faults and return the result."""
        while not self.done:
            self.step()
        return self.result  # type: ignore[return-value]

    def close(self) -> None:
        """End the coroutine where it stands, as when its process is lost."""
        self._coro.close()
        self.done = True

    def _send(self, value: Any) -> None:
        try:
            self._operation = self._coro.send(value)
        except StopIteration as exc:
            self.done, self.result = True, exc.value


class MemoryObjects(ObjectStore):
    """Objects in memory, with an outage."""

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
    """Stand in for a sleep."""
