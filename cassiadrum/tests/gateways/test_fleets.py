"""Tests of the division of figures among all gateways."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cassiadrum.gateways import Fleet, FleetMember
from cassiadrum.gateways.fleets import MAX_OVERSHOOT
from cassiadrum.tests.gateways.registrations import LEASE_S, OUTDATED_S, Registration, Rows

GATEWAYS = 12
TOTAL = 8.0
CAP = 1.0
KEY = "i-0"
EPSILON = 1e-9


class FleetMachine(RuleBasedStateMachine):
    """Gateways join, renew, read, end, and lose the store for any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.gateways: dict[str, Registration] = {}
        # Rows of the store; those of ended gateways stay until they expire.
        self.rows: Rows = {}
        self.started = 0

    @precondition(lambda self: len(self.gateways) < GATEWAYS)
    @rule(answer_s=st.floats(0.0, 2.0))
    def join(self, answer_s: float) -> None:
        """Start a gateway; the store answers its registration after some time."""
        self.started += 1
        gateway = Registration(f"g-{self.started}", self.rows, lambda: self.now)
        gateway.write()
        self.gateways[gateway.name] = gateway
        gateway.fleet.join(self.now + answer_s, gateway.expires_s, known_before=False)

    @precondition(lambda self: self.gateways)
    @rule(data=st.data())
    def restart(self, data: st.DataObject) -> None:
        """Start a process that finds its own row, written by an earlier one."""
        old = self.gateways[data.draw(st.sampled_from(sorted(self.gateways)))]
        new = Registration(old.name, self.rows, lambda: self.now)
        was_counted = old.joined_s + OUTDATED_S <= self.now
        known_before = was_counted and new.fleet.can_renew(old.expires_s)
        if known_before:
            new.joined_s = old.joined_s
        self.gateways[old.name] = new
        new.write()
        new.read()
        new.fleet.join(self.now, new.expires_s, known_before=known_before)

    @precondition(lambda self: self.gateways)
    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        """Kill a gateway; its row stays."""
        del self.gateways[data.draw(st.sampled_from(sorted(self.gateways)))]

    @rule(data=st.data())
    def read(self, data: st.DataObject) -> None:
        """Let some of the gateways read the rows; the others are cut off or need none."""
        names = data.draw(st.sets(st.sampled_from(sorted(self.gateways)))) if self.gateways else ()
        for name in names:
            self.gateways[name].read()

    @rule()
    def read_everywhere(self) -> None:
        for gateway in self.gateways.values():
            gateway.read()

    @precondition(lambda self: self.gateways)
    @rule(data=st.data())
    def renew(self, data: st.DataObject) -> None:
        self.renew_one(self.gateways[data.draw(st.sampled_from(sorted(self.gateways)))])

    def renew_one(self, gateway: Registration) -> None:
        if not gateway.fleet.can_renew(gateway.expires_s):
            gateway.fleet.leave()
            gateway.joined_s = self.now
        gateway.expires_s = self.now + LEASE_S
        gateway.write()
        gateway.read()
        gateway.fleet.join(self.now, gateway.expires_s, known_before=False)

    @precondition(lambda self: self.gateways)
    @rule(data=st.data(), lease_s=st.floats(OUTDATED_S, LEASE_S))
    def shorten(self, data: st.DataObject, lease_s: float) -> None:
        """Let a registration expire earlier, as a gateway does that is asked to stop."""
        gateway = self.gateways[data.draw(st.sampled_from(sorted(self.gateways)))]
        if not gateway.fleet.can_renew(gateway.expires_s):
            return
        gateway.expires_s = self.now + lease_s
        gateway.write()
        gateway.fleet.join(self.now, gateway.expires_s, known_before=False)

    @precondition(lambda self: self.gateways)
    @rule(renewed=st.booleans())
    def reach_next_expiry(self, renewed: bool) -> None:
        """Let time pass until a registration expires; its gateways may renew just before."""
        expires_s = min(gateway.expires_s for gateway in self.gateways.values())
        if expires_s <= self.now:
            return
        self.now = max(self.now, expires_s - 0.2)
        self.read_everywhere()
        self.now = max(self.now, expires_s - 0.1)
        for gateway in self.gateways.values():
            if renewed and gateway.expires_s < expires_s + 0.1:
                self.renew_one(gateway)
        self.now = expires_s + 0.1

    @rule(wait_s=st.floats(0.0, 30.0))
    def let_time_pass(self, wait_s: float) -> None:
        self.now += wait_s

    @invariant()
    def shares_stay_within_the_overshoot(self) -> None:
        shares = [gateway.fleet.share(KEY, GATEWAYS) for gateway in self.gateways.values()]
        assert sum(shares) <= MAX_OVERSHOOT + EPSILON

    @invariant()
    def parts_stay_within_the_total(self) -> None:
        parts = [gateway.fleet.part(TOTAL, CAP) for gateway in self.gateways.values()]
        assert sum(parts) <= TOTAL + EPSILON


FleetMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=40, deadline=None)


class TestFleetMachine(FleetMachine.TestCase):  # type: ignore[misc,valid-type]
    """Guards against shares of all gateways that together exceed the figure that they divide."""


class TestUnknownMembers:
    """Guards against a gateway that lost the store and divides without those that came later."""

    def test_sum_of_shares(self) -> None:
        now = 100.0
        rows: Rows = {}
        gateways = [Registration("g-0", rows, lambda: now)]
        gateways[0].write()
        gateways[0].fleet.join(now, gateways[0].expires_s, known_before=True)
        gateways[0].read()
        for number in range(1, 4):
            gateways.append(Registration(f"g-{number}", rows, lambda: now))
            gateways[-1].write()
            gateways[-1].fleet.join(now, gateways[-1].expires_s, known_before=False)
        for _ in range(100):
            now += 0.2
            for gateway in gateways[1:]:
                gateway.read()
            shares = [gateway.fleet.share(KEY, GATEWAYS) for gateway in gateways]
            assert sum(shares) <= MAX_OVERSHOOT
        assert shares == [0.0, 0.25, 0.25, 0.25]


class TestLateRenewals:
    """Guards against gateways that renew when some of the others already divide without them."""

    def test_sum_of_shares(self) -> None:
        now = 100.0
        rows: Rows = {}
        gateways = [Registration(f"g-{number}", rows, lambda: now) for number in range(5)]
        for gateway in gateways:
            gateway.write()
            gateway.fleet.join(now, gateway.expires_s, known_before=True)
        now += 40.0
        for gateway in gateways[:2]:
            self.renew(gateway, now)
        for gateway in gateways:
            gateway.read()
        now += 19.8
        for gateway in gateways[:2]:
            gateway.read()
        now += 0.1
        for gateway in gateways[2:]:
            self.renew(gateway, now)
        now += 0.2
        assert sum(gateway.fleet.share(KEY, GATEWAYS) for gateway in gateways) <= MAX_OVERSHOOT

    def renew(self, gateway: Registration, now: float) -> None:
        if not gateway.fleet.can_renew(gateway.expires_s):
            gateway.fleet.leave()
            gateway.joined_s = now
        gateway.expires_s = now + LEASE_S
        gateway.write()
        gateway.read()
        gateway.fleet.join(now, gateway.expires_s, known_before=False)


class TestDivision:
    """Guards against a share that is not used, or used by the wrong gateways, in a calm fleet."""

    def make(self, count: int, now: list[float]) -> list[Fleet]:
        rows = [FleetMember(f"g-{n}", 0.0, 1e9) for n in range(count)]
        fleets = [Fleet(row.name, OUTDATED_S, lambda: now[0]) for row in rows]
        for fleet in fleets:
            fleet.join(now[0], 1e9, known_before=True)
            fleet.replace(rows, 0.0)
            fleet.confirm(now[0])
        return fleets

    def test_all_gateways_share_a_figure(self) -> None:
        shares = [fleet.share(KEY, 10) for fleet in self.make(4, [10.0])]
        assert shares == [0.25] * 4

    def test_few_holders_share_a_figure(self) -> None:
        shares = [fleet.share(KEY, 4) for fleet in self.make(300, [10.0])]
        assert sorted(shares)[-5:] == [0.0, 0.25, 0.25, 0.25, 0.25]

    def test_holders_take_turns(self) -> None:
        now = [10.0]
        fleets = self.make(12, now)
        held = set()
        for turn in range(40):
            now[0] = 10.0 + 20.0 * turn
            for fleet in fleets:
                fleet.confirm(now[0])
            held |= {n for n, fleet in enumerate(fleets) if fleet.share(KEY, 3) > 0.0}
        assert held == set(range(12))

    def test_outdated_list_halves_the_share(self) -> None:
        now = [10.0]
        fleet = self.make(4, now)[0]
        now[0] += OUTDATED_S + 0.1
        assert fleet.share(KEY, 10) == 0.125
        now[0] += OUTDATED_S
        assert fleet.share(KEY, 10) == 0.0

    def test_gateways_lost_by_a_restored_store_count_for_some_time(self) -> None:
        now = [10.0]
        fleet = self.make(4, now)[0]
        fleet.replace([FleetMember("g-0", 0.0, 1e9)], 0.0)
        assert fleet.share(KEY, 10) == 0.25
        now[0] += OUTDATED_S
        fleet.confirm(now[0])
        assert fleet.share(KEY, 10) == 1.0

    def test_expired_registration_ends_the_share(self) -> None:
        now = [10.0]
        fleet = self.make(4, now)[0]
        fleet.join(10.0, 20.0, known_before=True)
        now[0] = 20.0
        assert fleet.share(KEY, 10) == 0.0
        assert fleet.part(TOTAL, CAP) == 0.0
