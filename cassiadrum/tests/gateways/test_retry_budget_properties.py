"""Property tests of the bound on retries over all gateways of a deployment."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cassiadrum.gateways.retry_budgets import RetryBudget, RetryBudgets
from cassiadrum.tests.gateways.registrations import OUTDATED_S, Registration, Rows

RATIO = 0.2
WINDOW_S = 10.0
# The number of retries that all gateways together may make beyond RATIO of their requests, and
# more gateways than that.
SLACK = 40
GATEWAYS = 60
SERVICE = "plain"
# Requests of each gateway in a window; RATIO of them is a whole number.
REQUESTS_PER_GATEWAY = 5

gateways = st.integers(0, GATEWAYS - 1)


class FleetMachine(RuleBasedStateMachine):
    """Gateways that start, stall and lose the store; the bound is on the sum of their retries."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.rows: Rows = {}
        self.registrations: dict[int, Registration] = {}
        self.budgets: dict[int, RetryBudget] = {}
        self.requests: list[float] = []
        self.retries: list[float] = []

    @initialize(count=st.integers(1, GATEWAYS))
    def start(self, count: int) -> None:
        for number in range(count):
            self.join(number)

    @rule(number=gateways)
    def join(self, number: int) -> None:
        """Start a gateway that is not running."""
        if number in self.budgets:
            return
        registration = Registration(f"g-{number}", self.rows, lambda: self.now)
        registration.write()
        registration.fleet.join(self.now, registration.expires_s, known_before=False)
        registration.read()
        self.registrations[number] = registration
        budgets = RetryBudgets(RATIO, SLACK, WINDOW_S, registration.fleet)
        self.budgets[number] = budgets.for_service(SERVICE)

    @rule(readers=st.sets(gateways))
    def read(self, readers: set[int]) -> None:
        """Let some gateways read the list of gateways, while the others are cut off."""
        for number in readers & self.registrations.keys():
            self.registrations[number].read()

    @rule(wait_s=st.floats(0.0, 12.0))
    def let_time_pass(self, wait_s: float) -> None:
        """Let time pass, as while gateways are suspended or the store is unreachable."""
        self.now += wait_s

    @rule(number=gateways, count=st.integers(1, 40))
    def serve(self, number: int, count: int) -> None:
        budget = self.budgets.get(number)
        for _ in range(count if budget is not None else 0):
            assert budget is not None
            budget.record_request(self.now)
            self.requests.append(self.now)

    @rule(count=st.integers(1, 20))
    def retry_everywhere(self, count: int) -> None:
        """Let each gateway retry as often as its budget permits, as when endpoints fail."""
        for budget in self.budgets.values():
            for _ in range(count):
                if budget.try_spend(self.now):
                    self.retries.append(self.now)

    @invariant()
    def fleet_keeps_the_bound(self) -> None:
        recent = [at_s for at_s in self.requests if at_s > self.now - WINDOW_S]
        retries = [at_s for at_s in self.retries if at_s > self.now - WINDOW_S]
        assert len(retries) <= RATIO * len(recent) + SLACK


FleetMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


class TestFleets(FleetMachine.TestCase):  # type: ignore[misc,valid-type]
    """Guards against more retries of all gateways together than the deployment permits.

    Gateways start, stall and lose the store at any time.
    """


class TestFleetSizes:
    """Guards against a budget per gateway that is too large for the number of gateways."""

    @pytest.mark.parametrize(("count", "slack"), [(6, 58), (31, 102), (68, 176), (300, 176)])
    def test_all_gateways_at_once_keep_the_bound(self, count: int, slack: int) -> None:
        """The counts and slacks are those of three deployments and one of 300 gateways."""
        rows: Rows = {}
        now = 0.0
        registrations = [Registration(f"g-{n}", rows, lambda: now) for n in range(count)]
        for registration in registrations:
            registration.write()
            registration.fleet.join(now, registration.expires_s, known_before=False)
        now = OUTDATED_S
        for registration in registrations:
            registration.read()
        fleets = [registration.fleet for registration in registrations]
        budgets = [
            RetryBudgets(RATIO, slack, WINDOW_S, fleet).for_service(SERVICE) for fleet in fleets
        ]
        requests, retries = 0, 0
        for budget in budgets:
            for _ in range(REQUESTS_PER_GATEWAY):
                budget.record_request(now)
                requests += 1
            while budget.try_spend(now):
                retries += 1
        assert retries <= RATIO * requests + slack
