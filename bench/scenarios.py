"""Load and faults of the scenarios in docs/design.md."""

from typing import NamedTuple

__all__ = ["SCENARIOS", "Scenario"]

FOUNDRY_SERVICES = ("sprachdienst", "auftragsdienst")
COLLECTIVE_SERVICES = ("drafting-desk", "permit-register")


class Scenario(NamedTuple):
    """Load and faults of one run.

    `burst` names the classes that make up the load beyond 0.7; if it is empty, all unprotected
    classes grow in proportion. `burst_customer_share` is the fraction of this excess load that
    one customer sends in addition to its regular share. `straggler` is the slowdown factor of one
    engine, `crash` crashes one engine. The lags of load reports and cache events are in seconds;
    `cache_event_loss` is the fraction of cache events that are lost.
    """

    name: str
    services: tuple[str, str]
    burst: tuple[str, ...] = ()
    burst_customer_share: float = 0.0
    straggler: float = 1.0
    crash: bool = False
    report_lag_s: float = 0.0
    cache_lag_s: float = 0.05
    cache_event_loss: float = 0.0


ALL_FAULTS = Scenario(
    "all-together",
    FOUNDRY_SERVICES,
    burst_customer_share=0.7,
    straggler=3.0,
    crash=True,
    report_lag_s=2.0,
    cache_lag_s=5.0,
    cache_event_loss=0.3,
)

SCENARIOS = (
    Scenario("feast-day-burst", FOUNDRY_SERVICES, burst=("feast-assessment", "order-status")),
    Scenario("fire-season-burst", COLLECTIVE_SERVICES, burst=("question", "permit-issue")),
    Scenario("large-customer", FOUNDRY_SERVICES, burst_customer_share=0.7),
    Scenario("straggler", FOUNDRY_SERVICES, straggler=3.0),
    Scenario("engine-crash", COLLECTIVE_SERVICES, crash=True),
    Scenario("late-reports", FOUNDRY_SERVICES, report_lag_s=2.0),
    Scenario("late-cache-events", FOUNDRY_SERVICES, cache_lag_s=5.0, cache_event_loss=0.3),
    ALL_FAULTS,
    ALL_FAULTS._replace(name="all-together-collective", services=COLLECTIVE_SERVICES),
)
