"""A model of gateways that begin and take up streams, with a store in memory and one clock."""

import asyncio
import contextlib
import random
from collections.abc import Sequence
from typing import NamedTuple

from cassiadrum.gateways import EndpointEntry, SingleGateway, StreamOrigin
from cassiadrum.gateways.unrecorded_streams import STREAM_LIFETIME_S
from cassiadrum.platform.errors import WriteConflict
from cassiadrum.platform.origin_stores import RowOriginStore
from cassiadrum.platform.row_pages import ChangedRow, RowPage, RowWrite
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.platform.store_eras import StoreEra
from cassiadrum.platform.table_reads import TableRead
from cassiadrum.settings.addresses import Address
from cassiadrum.stores.errors import StoreUnavailable
from cassiadrum.tests.gateways.makers import make_entry

SERVICE = "drafts"
# Boot time of 0 on the store's clock.
STORE_ZERO_S = 500.0
# The users' page: a copy that is restored is some seconds old.
MAX_COPY_AGE_S = 10.0


class ModelClock:
    """The time of all machines in seconds."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


class _LateWrite(NamedTuple):
    table: str
    writes: tuple[RowWrite, ...]


class ModelTables:
    """The store's tables, which all gateways share.

    They can be restored from a copy of some seconds before. Writes whose answers were lost may be
    carried out late, if what they expect still holds.
    """

    def __init__(self, clock: ModelClock) -> None:
        self.era = 1
        self.version = 0
        self.rows: dict[tuple[str, str], ChangedRow] = {}
        self.late_writes: list[_LateWrite] = []
        self._clock = clock
        # The rows after each write, with its time.
        self._copies = [(clock(), self.rows)]

    def restore(self, age_s: float) -> None:
        """Restore the rows of some time ago."""
        old_s = self._clock() - age_s
        copies = [copy for copy in self._copies if copy[0] <= old_s]
        self.rows = dict(copies[-1][1] if copies else self._copies[0][1])
        self._copies = [(self._clock(), dict(self.rows))]
        self.era += 1

    def write(self, table: str, writes: Sequence[RowWrite]) -> int:
        """Carry out a transaction; raise WriteConflict."""
        expected = {
            row.key: row.expected_version for row in writes if row.expected_version is not None
        }
        found = {key: row for (name, key), row in self.rows.items() if name == table}
        found = {key: row for key, row in found.items() if key in expected}
        versions = {key: row.version for key, row in found.items()}
        if any(versions.get(key, 0) != version for key, version in expected.items()):
            raise WriteConflict(found)
        self.version += 1
        for row in writes:
            self.rows.pop((table, row.key), None)
            if row.content is not None:
                self.rows[table, row.key] = ChangedRow(row.key, row.content, self.version)
        self._copies.append((self._clock(), dict(self.rows)))
        return self.version

    def carry_out_late_writes(self) -> None:
        """Carry out the writes whose answers were lost."""
        for late in self.late_writes:
            with contextlib.suppress(WriteConflict):
                self.write(late.table, late.writes)
        self.late_writes.clear()


class ModelStore(RowStore):
    """One gateway's client of the tables, with its own outages."""

    def __init__(self, tables: ModelTables, clock: ModelClock, rng: random.Random) -> None:
        super().__init__(Address("127.0.0.1", 1), clock)
        self.is_down = False
        # Part of the writes whose answer is lost.
        self.lost_answers = 0.0
        self._tables = tables
        self._clock = clock
        self._rng = rng
        self.era = StoreEra()

    async def read_all(self, table: str, read: TableRead | None = None) -> RowPage:
        """Return all rows of a table."""
        self._check()
        rows = [row for (name, _), row in sorted(self._tables.rows.items()) if name == table]
        return self._page(rows)

    async def read_range(
        self, table: str, first: str, end: str = "", limit: int = 500
    ) -> tuple[RowPage, bool]:
        """Return a range of the rows of a table."""
        page = await self.read_all(table)
        rows = [row for row in page.rows if row.key >= first and (not end or row.key < end)]
        return self._page(rows[:limit]), len(rows) > limit

    async def write_rows(self, table: str, writes: Sequence[RowWrite]) -> int:
        """Write rows; the answer may be lost, and the write may come late."""
        self._check()
        if self._rng.random() < self.lost_answers:
            if self._rng.random() < 0.5:
                self._tables.late_writes.append(_LateWrite(table, tuple(writes)))
            else:
                with contextlib.suppress(WriteConflict):
                    self._tables.write(table, writes)
            raise StoreUnavailable("no answer in time")
        return self._tables.write(table, writes)

    def _check(self) -> None:
        if self.is_down:
            raise StoreUnavailable("no answer in time")
        self.era.observe(str(self._tables.era))

    def _page(self, rows: Sequence[ChangedRow]) -> RowPage:
        now = self._clock()
        return RowPage(tuple(rows), self._tables.version, now - STORE_ZERO_S, now, now)


class ModelStream(NamedTuple):
    """A stream whose caller has its first event."""

    key: str
    origin: StreamOrigin
    begun_s: float


class ModelGateway:
    """A gateway's part in streams: it begins them and finds where others began."""

    def __init__(self, model: "OriginModel") -> None:
        self.store = ModelStore(model.tables, model.clock, model.rng)
        self.origins = RowOriginStore(
            lambda service: model.entries, lambda: (SERVICE,), SingleGateway(), model.clock
        )
        self.origins.on_restored = self._record_again
        self._running = asyncio.create_task(self.origins.run(self.store))
        self._begun: list[ModelStream] = []
        self._clock = model.clock

    async def begin(self, key: str, versions: Sequence[str]) -> ModelStream | None:
        """Send a request to endpoints of several versions, the last of which sends an event.

        Returns the stream once its caller has the first event, None if it does not get it.
        """
        written = None
        for version in versions:
            origin = StreamOrigin(SERVICE, version)
            if written is not None or not self.origins.needs_no_record(origin):
                written = self.origins.record(key, origin)
                await settle()
        if written is not None and not written.is_set():
            self.origins.discard(key)
            return None
        stream = ModelStream(key, origin, self._clock())
        self._begun.append(stream)
        return stream

    async def kill(self) -> None:
        """End the process."""
        self._running.cancel()
        await asyncio.gather(self._running, return_exceptions=True)

    def _record_again(self) -> None:
        for stream in self._begun:
            self.origins.record(stream.key, stream.origin)


async def settle() -> None:
    """Let the tasks of gateways run until they wait for the clock."""
    for _ in range(12):
        await asyncio.sleep(0)


class OriginModel:
    """Gateways, endpoints of several versions and streams, driven by a seed.

    `wrong` lists the streams whose origin was found to be another one than it was.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = ModelClock()
        self.tables = ModelTables(self.clock)
        self.entries: list[EndpointEntry] = []
        self.wrong: list[str] = []
        self.found = 0
        self.refused = 0
        self._gateways: list[ModelGateway] = []
        self._streams: list[ModelStream] = []
        self._numbers = 0

    async def run(self, steps: int) -> None:
        """Take a number of random steps."""
        self.entries = [make_entry("e-1", version="v1")]
        self._gateways = [ModelGateway(self) for _ in range(3)]
        await settle()
        for _ in range(steps):
            await self._step()
        for gateway in self._gateways:
            await gateway.kill()

    async def _step(self) -> None:
        step = self.rng.choices(
            (
                self._begin,
                self._take_up,
                self._pass_time,
                self._change_versions,
                self._replace_gateway,
                self._change_outage,
                self._late_writes,
                self._restore,
            ),
            (12, 12, 8, 3, 2, 3, 2, 1),
        )[0]
        await step()
        await settle()

    async def _begin(self) -> None:
        self._numbers += 1
        gateway = self.rng.choice(self._gateways)
        stream = await gateway.begin(f"{self._numbers:032x}", self._versions(gateway))
        if stream is not None:
            self._streams.append(stream)

    def _versions(self, gateway: ModelGateway) -> list[str]:
        """Return the versions of the endpoints that a request is sent to one after another.

        A gateway that is cut off may know and reach endpoints that the others do not.
        """
        known = [entry.version for entry in self.entries]
        if gateway.store.is_down:
            known += ["v1", "v2", "v3"]
        return self.rng.sample(known, min(len(known), self.rng.choice((1, 1, 2))))

    async def _take_up(self) -> None:
        oldest_s = self.clock.now - STREAM_LIFETIME_S
        self._streams = [stream for stream in self._streams if stream.begun_s >= oldest_s]
        for stream in self.rng.sample(self._streams, min(4, len(self._streams))):
            key = stream.key if self.rng.random() < 0.8 else ""
            try:
                found = await self.rng.choice(self._gateways).origins.find(SERVICE, key)
            except StoreUnavailable:
                found = None
            if found is None:
                self.refused += 1
            elif found.origin == stream.origin:
                self.found += 1
            else:
                self.wrong.append(f"{stream} found as {found} at {self.clock.now}")

    async def _pass_time(self) -> None:
        self.clock.now += self.rng.choice((0.1, 1.0, 5.0, 11.0, 45.0, 125.0))
        for gateway in self._gateways:
            with contextlib.suppress(StoreUnavailable):
                await gateway.origins.update(gateway.store)

    async def _change_versions(self) -> None:
        versions = self.rng.sample(("v1", "v2", "v3"), self.rng.randint(1, 2))
        self.entries = [
            make_entry(f"e-{number}", version=self.rng.choice(versions)) for number in range(3)
        ]

    async def _replace_gateway(self) -> None:
        count = self.rng.choice((1, 1, len(self._gateways)))
        for _ in range(count):
            gateway = self._gateways.pop(0)
            await gateway.kill()
            self._gateways.append(ModelGateway(self))

    async def _change_outage(self) -> None:
        store = self.rng.choice(self._gateways).store
        store.is_down = self.rng.random() < 0.5
        store.lost_answers = self.rng.choice((0.0, 0.0, 0.5))

    async def _late_writes(self) -> None:
        self.tables.carry_out_late_writes()

    async def _restore(self) -> None:
        self.tables.restore(self.rng.uniform(0.0, MAX_COPY_AGE_S))
