"""Tests of how it is known where streams began."""

import asyncio

import pytest

from cassiadrum.gateways import StreamOrigin, UnrecordedStreams, next_unrecorded
from cassiadrum.gateways.unrecorded_streams import ABSENT_S, LEASE_S, STREAM_LIFETIME_S
from cassiadrum.platform.origin_rows import RECORD_TABLE
from cassiadrum.platform.origin_stores import CLEAN_INTERVAL_S, RECORD_KEPT_S
from cassiadrum.tests.gateways.makers import make_entry
from cassiadrum.tests.gateways.origin_models import SERVICE, ModelGateway, OriginModel, settle

SEEDS = 60
STEPS = 120


class TestOriginModel:
    """Guards against a stream that is found to have begun at another version than it did.

    Gateways end and return, versions come, go and return, the store is away for some or loses
    answers, carries out writes late, and is restored from an older copy.
    """

    @pytest.mark.parametrize("first", range(0, SEEDS, 10))
    async def test_no_origin_is_wrong(self, first: int) -> None:
        found = 0
        for seed in range(first, first + 10):
            model = OriginModel(seed)
            await model.run(STEPS)
            assert model.wrong == [], seed
            found += model.found
        # A model in which all take-ups are refused would show nothing.
        assert found > 100


class TestLateWrites:
    """Guards against a record that an older write replaces, whose answer was lost."""

    async def test_record_of_the_last_attempt_stays(self) -> None:
        model = OriginModel(seed=1)
        model.entries = [make_entry("e-1", version="v1")]
        gateway = ModelGateway(model)
        await settle()
        first, last = StreamOrigin(SERVICE, "v2"), StreamOrigin(SERVICE, "v3")
        gateway.store.lost_answers = 1.0
        while not model.tables.late_writes:
            gateway.origins.record("a" * 32, first)
            await asyncio.sleep(0.01)
        gateway.store.lost_answers = 0.0
        await gateway.origins.record("a" * 32, last).wait()
        model.tables.carry_out_late_writes()
        found = await gateway.origins.find(SERVICE, "a" * 32)
        assert found is not None
        assert found.origin == last
        await gateway.kill()


class TestDiscardedRecords:
    """Guards against a stream that never begins, as its caller uses the id of a request again."""

    async def test_record_of_the_same_id_is_written(self) -> None:
        model = OriginModel(seed=1)
        model.entries = [make_entry("e-1", version="v1")]
        gateway = ModelGateway(model)
        await settle()
        origin = StreamOrigin(SERVICE, "v2")
        gateway.store.is_down = True
        gateway.origins.record("a" * 32, origin)
        await asyncio.sleep(0.01)
        gateway.origins.discard("a" * 32)
        gateway.store.is_down = False
        async with asyncio.timeout(1.0):
            await gateway.origins.record("a" * 32, origin).wait()
        await gateway.kill()

    async def test_records_are_removed_when_they_are_old(self) -> None:
        model = OriginModel(seed=1)
        model.entries = [make_entry("e-1", version="v1")]
        gateway = ModelGateway(model)
        await settle()
        await gateway.origins.record("a" * 32, StreamOrigin(SERVICE, "v2")).wait()
        await gateway.kill()
        other = ModelGateway(model)
        await settle()
        await other.origins.record("b" * 32, StreamOrigin(SERVICE, "v2")).wait()
        assert len([key for key in model.tables.rows if key[0] == RECORD_TABLE]) == 2
        # One of them was left behind by a gateway that is gone.
        model.clock.now += CLEAN_INTERVAL_S + RECORD_KEPT_S
        await other.origins.update(other.store)
        assert [key for key in model.tables.rows if key[0] == RECORD_TABLE] == []
        await other.kill()


class TestUnrecordedStreams:
    """Guards against streams of two versions that both have no record."""

    V1 = UnrecordedStreams("v1")
    E1, E2 = (make_entry(f"e-{version}", version=version) for version in ("v1", "v2"))

    def test_first_state_names_the_version_of_most_endpoints(self) -> None:
        entries = [make_entry(f"e-{n}", version="v2") for n in range(2)]
        assert next_unrecorded(None, [self.E1, *entries], 0.0, 0.0) == (UnrecordedStreams("v2"))

    def test_no_state_without_a_known_version(self) -> None:
        assert next_unrecorded(None, [make_entry("e", version="")], 0.0, 0.0) is None

    def test_version_that_still_serves_stays(self) -> None:
        assert next_unrecorded(self.V1, [self.E1, self.E2], 100.0, 0.0) is None

    def test_version_that_is_gone_for_a_moment_stays(self) -> None:
        entries = [self.E2]
        assert next_unrecorded(self.V1, entries, 100.0, ABSENT_S - 0.1) is None

    def test_version_that_is_gone_is_closed(self) -> None:
        closed = next_unrecorded(self.V1, [self.E2], 100.0, ABSENT_S)
        assert closed == UnrecordedStreams("v1", 100.0)
        assert not closed.permits("v1")
        assert closed.origin_at(101.0) == "v1"

    def test_another_version_opens_when_the_last_stream_has_ended(self) -> None:
        closed = UnrecordedStreams("v1", 100.0)
        opens_s = 100.0 + LEASE_S + STREAM_LIFETIME_S
        entries = [self.E2]
        assert next_unrecorded(closed, entries, opens_s - 0.1, 0.0) is None
        assert closed.origin_at(opens_s - 0.1) == "v1"
        assert next_unrecorded(closed, entries, opens_s, 0.0) == UnrecordedStreams("v2")
        assert closed.origin_at(opens_s) == ""

    def test_unknown_version_permits_nothing(self) -> None:
        unknown = UnrecordedStreams("")
        assert not unknown.permits("")
