"""Tests of the evidence on harmful contents in fleets of many sizes, in virtual time."""

import pytest

from cassiadrum.tests.harmful_fleets import CONTACT_S, HarmfulFleet, Sizes

MAX_LATE = 3
# As in the users' deployments, and larger.
SMALL = Sizes(gateways=4, endpoints=5, sound_per_s=17, harmful_per_s=(4.0,), for_s=60)
GROWN = Sizes(gateways=25, endpoints=23, sound_per_s=110, harmful_per_s=(25.0,), for_s=30)
LARGE = Sizes(gateways=68, endpoints=39, sound_per_s=130, harmful_per_s=(30.0,), for_s=30)


@pytest.mark.parametrize("seed", range(4))
class TestHarmfulFleets:
    """Guards against harmful requests that go on reaching endpoints, and sound ones refused."""

    @pytest.mark.parametrize("sizes", [SMALL, GROWN, LARGE], ids=["small", "grown", "large"])
    def test_frequent_requests(self, sizes: Sizes, seed: int) -> None:
        self.check(HarmfulFleet(sizes, seed))

    @pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
    def test_rare_requests(self, sizes: Sizes, seed: int) -> None:
        self.check(HarmfulFleet(sizes._replace(harmful_per_s=(0.2,), for_s=120), seed))

    @pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
    def test_several_parts(self, sizes: Sizes, seed: int) -> None:
        self.check(HarmfulFleet(sizes._replace(harmful_per_s=(4.0, 1.0, 0.3), for_s=60), seed))

    def test_many_parts_that_end_nearly_all_endpoints_at_once(self, seed: int) -> None:
        self.check(HarmfulFleet(GROWN._replace(harmful_per_s=(3.0,) * 8, for_s=40), seed + 107))

    @pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
    def test_gateways_restart_and_endpoints_end_for_other_reasons(
        self, sizes: Sizes, seed: int
    ) -> None:
        fleet = HarmfulFleet(sizes._replace(harmful_per_s=(2.0, 0.5), for_s=60), seed)
        self.check(fleet, restarts=20, zone_failures=3, single_failures=10)

    def test_one_gateway(self, seed: int) -> None:
        self.check(HarmfulFleet(SMALL._replace(gateways=1), seed), restarts=2)

    @pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
    def test_no_harmful_requests(self, sizes: Sizes, seed: int) -> None:
        fleet = HarmfulFleet(sizes._replace(harmful_per_s=(), for_s=60), seed)
        fleet.run(restarts=5, zone_failures=8, single_failures=40)
        assert not fleet.sound_refusals

    def check(
        self,
        fleet: HarmfulFleet,
        *,
        restarts: int = 0,
        zone_failures: int = 0,
        single_failures: int = 0,
    ) -> None:
        fleet.run(restarts=restarts, zone_failures=zone_failures, single_failures=single_failures)
        assert {part: fleet.late_arrivals(part) for part in fleet.crashes} == {
            part: min(fleet.late_arrivals(part), MAX_LATE) for part in fleet.crashes
        }
        assert not fleet.blamed_sound_contents()
        last_s = max(
            (found[min(4, len(found) - 1)] for found in fleet.crashes.values()), default=0
        )
        since_s = last_s + 2 * CONTACT_S
        refused = sum(at_s > since_s for at_s in fleet.sound_refusals)
        sent = sum(at_s > since_s for at_s in fleet.sound_sends)
        assert refused <= sent / 20
